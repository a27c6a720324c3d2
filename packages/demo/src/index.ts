export {DemoError} from './demo-error.ts';
export {runDemo} from './run-demo.ts';
export type {PrintLine} from './run-program.ts';
