import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Returns the heap bytes in use after a garbage collection. */
export const readHeapBytes = (): number => {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	collectGarbage();
	return process.memoryUsage().heapUsed;
};
