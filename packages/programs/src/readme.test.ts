import {runReadmeExample} from '@marjoramcove/test-support';
import {describe, expect, it} from 'vitest';

describe('README', () => {
	it('has an example that runs and prints the documented output', async () => {
		// Guards against outdated documentation.
		const {printed, expected} = await runReadmeExample('programs');
		expect(printed).toEqual(expected);
		expect(printed.length).toBeGreaterThan(0);
	});
});
