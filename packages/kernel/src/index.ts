export {Kernel} from './kernel.ts';
export {Service, type ServiceDirectory} from './service.ts';
