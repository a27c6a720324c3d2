import type {UpstreamResource} from '@marjoramcove/configuration';
import {MetricsRegistry} from '@marjoramcove/metrics';
import {asId, type ProgramId, type UpstreamId} from '@marjoramcove/types';
import {MockAgent} from 'undici';
import {describe, expect, it} from 'vitest';
import type {DaemonContext} from '../daemon-context.ts';
import {
	engineOfHold,
	formatCopyHolder,
	parseCopyHolder,
} from '../owner/copy-holder.ts';
import type {GroupClientService} from '../services/group-client-service.ts';
import type {PeersService} from '../services/peers-service.ts';
import type {UpstreamsService} from '../services/upstreams-service.ts';
import {CopyManager} from './copy-manager.ts';
import {ExportedCopies} from './exported-copies.ts';
import type {UpstreamClient} from './upstream-client.ts';

const address = 'http://engine';
const programId = asId<ProgramId>('p0-a');
const upstream = {
	name: 'engine-1',
	spec: {address},
} as unknown as UpstreamResource;

/** Creates an engine that exports 100 tokens per program and records imports. */
const createEngine = () => {
	const agent = new MockAgent();
	agent.disableNetConnect();
	const imports: unknown[] = [];
	const pool = agent.get(address);
	pool
		.intercept({path: /\/v1\/kv\/.+\/export/v, method: 'POST'})
		.reply(200, {text: 'prefix', tokens: 100})
		.persist();
	pool
		.intercept({path: '/v1/kv/import', method: 'POST'})
		.reply(200, ({body}) => {
			imports.push(JSON.parse(body as string));
			return {};
		})
		.persist();
	return {engine: {upstream, dispatcher: agent}, imports};
};

describe('ExportedCopies', () => {
	it('does not exceed its capacity, and frees the capacity of restored copies', async () => {
		// Guards against unbounded memory use by copies.
		const {engine, imports} = createEngine();
		const sizes: number[] = [];
		const copies = new ExportedCopies(150, (tokens) => sizes.push(tokens));
		expect(await copies.export(engine, programId)).toBe(true);
		expect(await copies.export(engine, asId<ProgramId>('p0-b'))).toBe(false);
		expect(await copies.export(engine, programId)).toBe(true);
		await copies.restore(engine, programId);
		await copies.restore(engine, programId);
		expect(imports).toEqual([{programId, text: 'prefix'}]);
		expect(sizes.at(-1)).toBe(0);
		expect(copies.programIds).toEqual([]);
	});

	it('makes no copy when the setting is 0', async () => {
		// Guards against exports on a daemon that did not enable them.
		const {engine} = createEngine();
		const copies = new ExportedCopies(0, () => undefined);
		expect(await copies.export(engine, programId)).toBe(false);
	});

	it('removes a copy when the program runs on another engine', async () => {
		// Guards against an outdated prefix that replaces a newer one later.
		const {engine, imports} = createEngine();
		const copies = new ExportedCopies(1000, () => undefined);
		await copies.export(engine, programId);
		const other = {...upstream, name: asId<UpstreamId>('engine-2')};
		await copies.restore({...engine, upstream: other}, programId);
		await copies.restore(engine, programId);
		expect(imports).toEqual([]);
	});
});

describe('CopyManager', () => {
	it('drops copies of programs that their owner does not know as open', async () => {
		// Guards against a copy that was made after its program ended and released its holds.
		const metrics = new MetricsRegistry();
		const context = {
			metrics,
			phase: 'ready',
			settings: {limits: {exportedCacheTokens: 1000}, cluster: {shardCount: 1}},
		} as unknown as DaemonContext;
		const {engine} = createEngine();
		const client = {
			agentOf: () => engine.dispatcher,
		} as unknown as UpstreamClient;
		const handlers = new Map<string, (input: unknown) => Promise<unknown>>();
		const peers = {
			handle(
				path: string,
				_schema: unknown,
				handler: (input: unknown) => Promise<unknown>,
			) {
				handlers.set(path, handler);
			},
		} as unknown as PeersService;
		const keeper = new CopyManager(context, client);
		keeper.serve(peers, {
			lookUp: () => upstream,
		} as unknown as UpstreamsService);
		await handlers.get('dispatch.exportMemory')!({
			programId,
			upstreamId: upstream.name,
		});
		const gauge = 'marjoramcove_exported_cache_tokens';
		expect(metrics.render()).toContain(`${gauge} 100\n`);
		await keeper.reconcile({
			call: async () => [programId],
		} as unknown as GroupClientService);
		expect(metrics.render()).toContain(`${gauge} 0\n`);
	});
});

describe('copy holder', () => {
	it('encodes the daemon, its incarnation and the engine in the name of a hold', () => {
		// Guards against releasing a copy at the wrong process, or engine memory as if it were a copy.
		const holder = {
			daemonId: 'd1',
			incarnation: '0b7f-1',
			upstreamId: 'engine-1',
		} as unknown as Parameters<typeof formatCopyHolder>[0];
		const hold = formatCopyHolder(holder);
		expect(parseCopyHolder(hold)).toEqual(holder);
		expect(engineOfHold(hold)).toBe('engine-1');
		expect(parseCopyHolder(asId<UpstreamId>('engine-1'))).toBeUndefined();
		expect(engineOfHold(asId<UpstreamId>('engine-1'))).toBe('engine-1');
	});
});
