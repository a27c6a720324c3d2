import {messageOf} from '@marjoramcove/errors';
import {Service} from '@marjoramcove/kernel';
import type {GatewayContext} from '../gateway-context.ts';
import type {GatewaySettings} from '../gateway-settings.ts';

/** Interval at which the settings are reloaded, because they may change without a signal. */
const RELOAD_INTERVAL_MS = 5000;

/** Reads the current settings; may reject while they are being written. */
export type SettingsReader = () => Promise<GatewaySettings>;

/**
 * Applies changed seeds, on SIGHUP and at intervals. All other settings, such as addresses, take effect at
 * the next start.
 */
export class SettingsService extends Service {
	readonly #context: GatewayContext;
	readonly #readSettings: SettingsReader;
	readonly #onSighup: () => void;
	#timer: NodeJS.Timeout | undefined;

	constructor(context: GatewayContext, readSettings: SettingsReader) {
		super();
		this.#context = context;
		this.#readSettings = readSettings;
		this.#onSighup = () => {
			void this.reload('signal');
		};
	}

	override get name() {
		return 'settings';
	}

	override async start() {
		process.on('SIGHUP', this.#onSighup);
		this.#timer = setInterval(() => {
			void this.reload('interval');
		}, RELOAD_INTERVAL_MS);
	}

	override async stop() {
		clearInterval(this.#timer);
		process.off('SIGHUP', this.#onSighup);
	}

	/** Reloads the settings and applies those that may change at runtime. */
	async reload(cause: 'interval' | 'signal'): Promise<void> {
		const {settings, logger} = this.#context;
		try {
			const {seeds} = await this.#readSettings();
			const isChanged = seeds.join(',') !== settings.seeds.join(',');
			settings.seeds = seeds;
			if (isChanged || cause === 'signal') {
				logger.info({
					event: 'settings-reloaded',
					cause,
					isChanged,
					seeds: seeds.join(','),
				});
			}
		} catch (error) {
			logger.warn({
				event: 'settings-not-reloaded',
				cause,
				error: messageOf(error),
			});
		}
	}
}
