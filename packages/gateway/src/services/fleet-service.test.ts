import type {FleetMember, FleetRole} from '@marjoramcove/fleet';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {createLogger} from '@marjoramcove/logger';
import {asId, type DaemonId, type IncarnationId} from '@marjoramcove/types';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {GatewayAdapter} from '../gateway-adapter.ts';
import {createGatewayContext, type GatewayContext} from '../gateway-context.ts';
import {
	DEFAULT_GATEWAY_TIMING,
	type GatewaySettings,
} from '../gateway-settings.ts';
import type {SyncInput, SyncOutput} from '../peer-messages.ts';
import {FleetService} from './fleet-service.ts';

// Fake timers do not replace the promise-based ones.
vi.mock('node:timers/promises', () => ({
	setTimeout: async (durationMs: number) =>
		new Promise((resolve) => {
			globalThis.setTimeout(resolve, durationMs);
		}),
}));

/** Time within which a daemon must have the configuration of the majority, from the cut. */
const MAX_CATCH_UP_MS = 3000;

/** Time between two confirmations that a control daemon receives from the leader. */
const CONFIRMATION_INTERVAL_MS = 300;

const daemonId = (text: string) => asId<DaemonId>(text);

const createControlMember = (id: string): FleetMember => ({
	daemonId: daemonId(id),
	name: id,
	incarnation: asId<IncarnationId>('first'),
	sequence: 1,
	role: 'control',
	zone: id[0]!,
	phase: 'ready',
	ledGroups: [],
	documentVersion: 1,
});

const settings: GatewaySettings = {
	name: 'entry-1',
	daemonId: daemonId('entry-1'),
	role: 'entry',
	zone: 'a',
	seeds: [daemonId('a1')],
	isFirstFormation: false,
	listen: {},
	replication: {factor: 5, minShardCount: 4},
	timing: DEFAULT_GATEWAY_TIMING,
	logs: {level: 'error', destination: '/dev/null'},
};

/** Control daemons of a deployment that answer syncs; some are cut off from their leader. */
class ControlDaemons {
	readonly syncs: Array<{parentId: string; atMs: number}> = [];
	readonly cutOff = new Set<string>();
	readonly unreachable = new Set<string>();
	documentVersion = 1;
	cutAtMs = Infinity;
	readonly #members: FleetMember[];

	constructor(...ids: string[]) {
		this.#members = ids.map((id) => createControlMember(id));
	}

	/** Cuts daemons off from the leader; the others get a new document. */
	cut(...ids: string[]): void {
		for (const id of ids) {
			this.cutOff.add(id);
		}

		this.cutAtMs = performance.now();
		this.documentVersion++;
	}

	async sync(parentId: string, input: SyncInput): Promise<SyncOutput> {
		this.syncs.push({parentId, atMs: performance.now()});
		if (this.unreachable.has(parentId)) {
			await this.#sleep(input.waitMs + 700);
			throw new Error('The peer does not respond.');
		}

		const isCutOff = this.cutOff.has(parentId);
		const version = isCutOff ? this.documentVersion - 1 : this.documentVersion;
		const isNewer = version > input.position.documentVersion;
		await this.#sleep(isNewer ? 1 : Math.max(1, input.waitMs));
		const confirmedAtMs = isCutOff
			? this.cutAtMs
			: performance.now() - CONFIRMATION_INTERVAL_MS;
		return {
			leaderId: 'b2',
			confirmedAgeMs: performance.now() - confirmedAtMs,
			topics: {
				...(isNewer && {document: {version, bytes: new Uint8Array()}}),
				...(input.position.members === undefined && {
					members: {
						stamp: {term: 1, sequence: 1},
						items: this.#members,
					},
				}),
			},
		};
	}

	async #sleep(durationMs: number): Promise<void> {
		await new Promise((resolve) => {
			setTimeout(resolve, durationMs);
		});
	}
}

/** Link layer of the tests: delivers syncs to the control daemons without a network. */
class FakePeersService extends Service {
	readonly network: {
		call: (peerId: string, path: string, input: SyncInput) => unknown;
		handle: () => void;
	};

	constructor(control: ControlDaemons) {
		super();
		this.network = {
			call: async (peerId, _path, input) => control.sync(peerId, input),
			handle() {
				// No other daemon calls the one under test.
			},
		};
	}

	override get name() {
		return 'peers';
	}
}

describe('FleetService', () => {
	let fleet: FleetService | undefined;

	beforeEach(() => {
		vi.useFakeTimers({
			toFake: ['setTimeout', 'clearTimeout', 'performance'],
		});
	});

	afterEach(async () => {
		await fleet?.stop();
		vi.useRealTimers();
	});

	const start = async (
		control: ControlDaemons,
		role: FleetRole = 'entry',
	): Promise<GatewayContext> => {
		const {logger, dropped} = await createLogger(settings.logs);
		const context = createGatewayContext({
			settings: {...settings, role},
			logger,
			droppedLogLines: dropped,
			adapter: Object.create(GatewayAdapter.prototype) as GatewayAdapter,
			fail(error) {
				throw error as Error;
			},
		});
		const peers = new FakePeersService(control);
		const directory: ServiceDirectory = {
			get: <Type extends Service>() => peers as unknown as Type,
		};
		fleet = new FleetService(context);
		await fleet.start(directory);
		await vi.advanceTimersByTimeAsync(2500);
		return context;
	};

	describe('while control daemons are cut off from their leader', () => {
		it.each([
			['both of its zone', ['a1', 'a2']],
			['one of its zone', ['a1']],
			['those of the other zones', ['b1', 'b2', 'c1']],
			['all but one of another zone', ['a1', 'a2', 'b1', 'c1']],
		])(
			'finds one that has the current document: %s',
			async (_name, cutOffIds) => {
				// Guards against an entry daemon that alternates between two outdated parents.
				for (let run = 0; run < 20; run++) {
					const control = new ControlDaemons('a1', 'a2', 'b1', 'b2', 'c1');
					const context = await start(control);
					expect(context.view.topics.document?.version).toBe(1);
					control.cut(...cutOffIds);
					await vi.advanceTimersByTimeAsync(MAX_CATCH_UP_MS);
					expect(context.view.topics.document?.version).toBe(2);
					for (let second = 0; second < 10; second++) {
						await vi.advanceTimersByTimeAsync(1000);
						const ageMs = performance.now() - context.view.confirmedAtMs;
						expect(ageMs).toBeLessThan(1500);
					}

					await fleet!.stop();
				}
			},
		);
	});

	it.each(['entry', 'control'] as const)(
		'does not spin in role %s while no control daemon has a confirmation',
		async (role) => {
			// Guards against daemons that flood the control daemons with syncs during a long election.
			const control = new ControlDaemons('a1', 'a2', 'b1', 'b2', 'c1');
			await start(control, role);
			control.cut('a1', 'a2', 'b1', 'b2', 'c1');
			await vi.advanceTimersByTimeAsync(5000);
			const before = control.syncs.length;
			await vi.advanceTimersByTimeAsync(10_000);
			expect(control.syncs.length - before).toBeLessThanOrEqual(40);
		},
	);

	it('takes another parent when its own does not respond', async () => {
		// Guards against a daemon that waits for a silent parent until its lease ends.
		const control = new ControlDaemons('a1', 'a2', 'b1', 'b2', 'c1');
		const context = await start(control);
		control.unreachable.add('a1').add('a2');
		control.documentVersion++;
		await vi.advanceTimersByTimeAsync(MAX_CATCH_UP_MS);
		expect(context.view.topics.document?.version).toBe(2);
	});
});
