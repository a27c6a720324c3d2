import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {TestBed, waitFor} from '@marjoramcove/test-support';
import {findLeader, groupIdOf} from './helpers/find-roles.ts';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

describe('I8 engine memory', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({
			daemonCount: 5,
			engineCount: 2,
			settings: {timing: {memoryReconcileMs: 1000}},
			engineOptions: {
				loseReleases: isFaultInjected('lose-all-releases') ? 1_000_000 : 0,
			},
		});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		await bed.cluster.restartStopped();
	});

	afterAll(async () => {
		await bed.stop();
	});

	const isHeld = (programId: string): boolean =>
		bed.engines.some(({held}) =>
			held.some((entry) => entry.programId === programId),
		);

	const openProgramWithMemory = async (): Promise<string> => {
		const programId = await bed.caller('d4').openProgram();
		const answer = await bed.caller('d4').callModel(programId, 'Hello.');
		expect(answer.status).toBe(200);
		expect(isHeld(programId)).toBe(true);
		return programId;
	};

	it('releases the memory of an ended program', async () => {
		// Guards against a program that ends without releasing its holds.
		const programId = await openProgramWithMemory();
		await bed.caller('d4').endProgram(programId);
		await waitFor('the release', () => !isHeld(programId));
	});

	it('keeps the memory of a program that has not ended', async () => {
		// Guards against a reconciliation that drops the cache of programs that have not ended.
		const programId = await openProgramWithMemory();
		const other = await openProgramWithMemory();
		await bed.caller('d4').endProgram(other);
		await waitFor('the release', () => !isHeld(other));
		const until = Date.now() + 3000;
		await waitFor('three reconciliations', () => Date.now() > until);
		expect(isHeld(programId)).toBe(true);
		await bed.caller('d4').endProgram(programId);
	});

	it('repeats a release whose answer was lost', async () => {
		// Guards against a release that is not retried.
		const programId = await openProgramWithMemory();
		for (const engine of bed.engines) {
			engine.options.loseReleases = 3;
		}

		await bed.caller('d4').endProgram(programId);
		await waitFor('the release', () => !isHeld(programId));
		for (const engine of bed.engines) {
			engine.options.loseReleases = 0;
		}
	});

	it('releases the memory when the owner is killed right after the program ended', async () => {
		// Guards against pending releases that the owner keeps only in memory.
		const programId = await openProgramWithMemory();
		for (const engine of bed.engines) {
			engine.options.loseReleases = 1000;
		}

		const owner = await findLeader(bed.caller('d4'), groupIdOf(programId));
		const ended = await bed.caller('d4').endProgram(programId);
		expect(ended.status).toBeLessThan(300);
		await bed.cluster.daemon(owner).kill();
		for (const engine of bed.engines) {
			engine.options.loseReleases = 0;
		}

		await waitFor('the release', () => !isHeld(programId));
	});

	it('releases the memory of programs unknown to all daemons', async () => {
		// Guards against memory that remains at an engine after a lost call.
		const answer = await bed.caller('d4').send('GET', '/livez');
		expect(answer.status).toBe(200);
		const response = await fetch(`${bed.engines[0]!.url}/v1/chat/completions`, {
			method: 'POST',
			body: JSON.stringify({
				model: 'agent-large',
				messages: [{role: 'user', content: 'stray'}],
				program_id: 'p0-unknown',
			}),
		});
		await response.text();
		expect(isHeld('p0-unknown')).toBe(true);
		await waitFor('the release', () => !isHeld('p0-unknown'));
	});
});
