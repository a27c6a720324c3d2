export {DemoError} from './demo-error.ts';
export {runDemo} from './run-demo.ts';
export type {Show} from './run-program.ts';
