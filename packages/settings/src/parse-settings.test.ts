import {describe, expect, it} from 'vitest';
import {parseSettings} from './parse-settings.ts';

const minimalSettings = `
daemonId: d1
zone: zone-a
listen: {httpPort: 8101, peerPort: 8201}
roles: [entry, state]
dataFolder: /tmp/d1
cluster:
  peers:
    - {daemonId: d1, zone: zone-a, peerAddress: "127.0.0.1:8201", httpAddress: "127.0.0.1:8101", state: true}
`;

describe('parseSettings', () => {
	describe('valid settings', () => {
		it('fills in the defaults', () => {
			const settings = parseSettings(minimalSettings);
			expect(settings.cluster.shardCount).toBe(4);
			expect(settings.timing.configurationLeaseMs).toBe(5000);
			expect(settings.logs).toEqual({level: 'info', destination: 'stderr'});
		});
	});

	describe('invalid settings', () => {
		it('reports the path of a misspelt key instead of ignoring it', () => {
			expect(() =>
				parseSettings(minimalSettings + 'timing: {heartbeetMs: 5}\n'),
			).toThrow('timing.heartbeetMs: found an unknown key');
		});

		it('reports the path, the value found and the allowed values', () => {
			expect(() =>
				parseSettings(minimalSettings.replace('8101, peer', '99999, peer')),
			).toThrow(/listen\.httpPort: found 99999; allowed: .*65535/v);
		});

		it('reports the line of invalid YAML', () => {
			expect(() => parseSettings('daemonId: [d1\nzone: x')).toThrow(
				/^line \d/v,
			);
		});

		it('refuses a configuration lease that heartbeats cannot renew in time', () => {
			expect(() =>
				parseSettings(
					minimalSettings +
						'timing: {heartbeatMs: 1000, configurationLeaseMs: 1500}\n',
				),
			).toThrow('timing.configurationLeaseMs');
		});

		it('requires a data folder for the state role', () => {
			expect(() =>
				parseSettings(minimalSettings.replace('dataFolder: /tmp/d1\n', '')),
			).toThrow('dataFolder: found nothing');
		});
	});
});
