import {randomUUID} from 'node:crypto';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
	type Answer,
	createSelectorResource,
	errorOf,
	runCommand,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {isFaultInjected} from './helpers/deliberate-fault.ts';
import {showLogsOnFailure} from './helpers/show-logs.ts';

const applyChange = (resource: unknown) => [{type: 'apply', resource}];

describe('I5 configuration', () => {
	let bed: TestBed;

	beforeAll(async () => {
		bed = await TestBed.start({
			daemonCount: 5,
			engineCount: 1,
			proxied: true,
			...(isFaultInjected('endless-lease') && {
				settings: {timing: {configurationLeaseMs: 35_000}},
				startTimeoutMs: 50_000,
			}),
		});
	});

	afterEach(async (context) => {
		showLogsOnFailure(bed, context);
		bed.cluster.heal();
		await bed.cluster.waitUntilReady();
	});

	afterAll(async () => {
		await bed.stop();
	});

	const waitForRevision = async (daemonId: string, revision: number) =>
		waitFor(
			`revision ${revision}`,
			async () => {
				const list = await bed.readResources(daemonId);
				return list.revision >= revision ? list : undefined;
			},
			{intervalMs: 1},
		);

	it('accepts one of two concurrent changes with the same base revision', async () => {
		// Guards against a change that silently overwrites another one (lost update).
		const {revision} = await bed.readResources('d4');
		const answers = await Promise.all(
			['d4', 'd5'].map(async (daemonId) =>
				bed.sendChange(
					applyChange(createSelectorResource('raced', {owner: daemonId})),
					{
						baseRevision: revision,
						daemonId,
					},
				),
			),
		);
		expect(answers.map(({status}) => status).toSorted((a, b) => a - b)).toEqual(
			[200, 409],
		);
		const refused = answers.find(({status}) => status === 409)!;
		expect(errorOf(refused)).toMatchObject({
			reason: 'revision-conflict',
			verdict: 'not-run',
		});
		const after = await bed.readResources('d5');
		expect(after.revision).toBe(revision + 1);
	});

	it('returns the first outcome for a resent operation', async () => {
		// Guards against a resent change that overwrites a later change of another operator.
		const operationId = randomUUID();
		const first = await bed.sendChange(
			applyChange(createSelectorResource('resent', {value: 'first'})),
			{operationId},
		);
		await bed.apply([createSelectorResource('resent', {value: 'second'})]);
		const again = await bed.sendChange(
			applyChange(createSelectorResource('resent', {value: 'first'})),
			{operationId, baseRevision: Number(first.body.revision) - 1},
		);
		expect(again.status).toBe(200);
		expect(again.body).toMatchObject({
			revision: first.body.revision,
			repeated: true,
		});
		const {resources} = await bed.readResources('d4');
		const resource = resources.find(({name}) => name === 'resent');
		expect(resource!.spec.programs).toEqual({value: 'second'});
	});

	it('is in force on every daemon when apply returns', async () => {
		// Guards against a daemon that accepts work under a configuration that was replaced.
		await bed.apply([{...createSelectorResource('all', {never: 'matches'})}]);
		const answers = await Promise.all(
			bed.cluster.daemons.map(async ({daemonId}) => {
				const opened = await bed.caller(daemonId).tryOpenProgram();
				if (opened.status !== 201) {
					return opened;
				}

				return bed
					.caller(daemonId)
					.callModel(String(opened.body.programId), 'May I?');
			}),
		);
		await bed.apply([createSelectorResource('all', {})]);
		expect(answers.map((answer) => errorOf(answer)?.reason)).toEqual(
			answers.map(() => 'no-selector-matches'),
		);
	});

	it('accepts no work on a daemon that is partitioned from the leader for longer than its lease', async () => {
		// Guards against a daemon that continues to use an old configuration behind a partition.
		const programId = await bed.caller('d5').openProgram();
		bed.cluster.isolate('d5', 'both');
		const refused = await waitFor('the lease to expire', async () => {
			const answer = await bed.caller('d5').tryOpenProgram();
			return errorOf(answer)?.reason === 'configuration-lease-expired'
				? answer
				: undefined;
		});
		expect(refused.status).toBe(503);
		expect(errorOf(refused)).toMatchObject({verdict: 'not-run'});
		expect(
			(refused.body as {error: {addresses?: unknown[]}}).error.addresses,
		).not.toHaveLength(0);
		const applied = await bed.sendChange(
			applyChange(createSelectorResource('meanwhile', {})),
			{daemonId: 'd4'},
		);
		expect(applied.status).toBe(200);
		const call = await bed.caller('d5').callModel(programId, 'May I?');
		expect(errorOf(call)).toMatchObject({verdict: 'not-run'});
		bed.cluster.heal();
		await bed.cluster.daemon('d5').waitUntilReady();
		await waitFor('the change at d5', async () => {
			const {resources} = await bed.readResources('d5');
			return resources.some(({name}) => name === 'meanwhile');
		});
	});

	it('does not revert after hundreds of changes and a restart of all daemons', async () => {
		// Guards against recovery to an older state from a snapshot or a log.
		const {revision} = await bed.readResources('d1');
		const answers: Array<Promise<Answer>> = [];
		for (let index = 0; index < 300; index++) {
			// The next change is sent once this one is committed, without waiting until it is in force.
			answers.push(
				bed.sendChange(
					applyChange(
						createSelectorResource('counter', {value: String(index)}),
					),
					{daemonId: 'd1', baseRevision: revision + index},
				),
			);
			await waitForRevision('d1', revision + index + 1);
		}

		const statuses = await Promise.all(answers);
		expect(statuses.filter(({status}) => status !== 200)).toEqual([]);
		const before = await bed.readResources('d4');
		await Promise.all(bed.cluster.daemons.map(async (daemon) => daemon.kill()));
		await bed.cluster.restartStopped();
		const lists = await Promise.all(
			bed.cluster.daemons.map(async ({daemonId}) =>
				waitForRevision(daemonId, before.revision),
			),
		);
		expect(lists).toEqual(lists.map(() => before));
	});

	it('reports a conflict on the command line with exit code 3', async () => {
		// Guards against a conflicting change that is reported to the operator as applied.
		const result = await runCommand(
			['delete', 'selector', 'all', '--base-revision', '1'],
			{MARJORAMCOVE_ADDRESS: bed.cluster.addresses.join(',')},
		);
		expect(result.code).toBe(3);
		expect(result.err).toContain('revision');
	});
});
