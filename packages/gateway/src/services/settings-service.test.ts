import {createLogger} from '@marjoramcove/logger';
import {asId, type DaemonId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {GatewayAdapter} from '../gateway-adapter.ts';
import {createGatewayContext} from '../gateway-context.ts';
import {
	DEFAULT_GATEWAY_TIMING,
	type GatewaySettings,
} from '../gateway-settings.ts';
import {SettingsService} from './settings-service.ts';

const createSettings = (...seeds: string[]): GatewaySettings => ({
	name: 'entry-1',
	daemonId: asId<DaemonId>('127.0.0.1:1'),
	role: 'entry',
	zone: 'a',
	seeds: seeds.map((seed) => asId<DaemonId>(seed)),
	isFirstFormation: false,
	listen: {},
	replication: {factor: 3, minShardCount: 4},
	timing: DEFAULT_GATEWAY_TIMING,
	logs: {level: 'error', destination: 'stderr'},
});

const unusedAdapter = Object.create(GatewayAdapter.prototype) as GatewayAdapter;

const createContext = async (settings: GatewaySettings) => {
	const {logger, dropped} = await createLogger({
		level: 'error',
		destination: 'stderr',
	});
	return createGatewayContext({
		settings,
		logger,
		droppedLogLines: dropped,
		adapter: unusedAdapter,
		fail() {
			throw new Error('The daemon must not fail.');
		},
	});
};

describe('SettingsService', () => {
	it('applies changed seeds and nothing else', async () => {
		const context = await createContext(createSettings('s1', 's2'));
		const service = new SettingsService(context, async () => ({
			...createSettings('s3'),
			zone: 'b',
		}));
		await service.reload('interval');
		expect(context.settings.seeds).toEqual(['s3']);
		expect(context.settings.zone).toBe('a');
	});

	it('keeps the seeds if the file cannot be read', async () => {
		const context = await createContext(createSettings('s1'));
		const service = new SettingsService(context, async () => {
			throw new Error('The file is empty.');
		});
		await service.reload('signal');
		expect(context.settings.seeds).toEqual(['s1']);
	});

	it('reloads on SIGHUP instead of terminating the process, which is the runtime default', async () => {
		const context = await createContext(createSettings('s1'));
		const service = new SettingsService(context, async () =>
			createSettings('s4'),
		);
		await service.start();
		process.kill(process.pid, 'SIGHUP');
		await expect.poll(() => context.settings.seeds).toEqual(['s4']);
		await service.stop();
	});
});
