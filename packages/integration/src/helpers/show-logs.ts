import type {TestBed} from '@marjoramcove/test-support';

/** Prints the last log lines of all daemons when a test has failed; call it in `afterEach`. */
export const showLogsOnFailure = (
	bed: TestBed | undefined,
	context: {task: {result?: {state?: string}}},
): void => {
	if (context.task.result?.state === 'fail' && bed) {
		console.error(bed.cluster.describeLogs(20));
	}
};
