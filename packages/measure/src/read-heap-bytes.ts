import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes in use on the heap after a garbage collection. */
export const readHeapBytes = (): number => {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	collectGarbage();
	return process.memoryUsage().heapUsed;
};
