import {messageOf} from '@marjoramcove/errors';
import {Service} from '@marjoramcove/kernel';
import type {GatewayContext} from '../gateway-context.ts';
import type {GatewaySettings} from '../gateway-settings.ts';

/** Interval at which the settings are read again, because they may change without a signal. */
const RELOAD_INTERVAL_MS = 5000;

/** Reads the settings again; it fails while they are being written. */
export type SettingsReader = () => Promise<GatewaySettings>;

/**
 * Takes new seeds from changed settings, on SIGHUP and at intervals. Everything else, such as an
 * address, takes effect at the next start.
 */
export class SettingsService extends Service {
	readonly #context: GatewayContext;
	readonly #read: SettingsReader;
	readonly #onHangUp: () => void;
	#timer: NodeJS.Timeout | undefined;

	constructor(context: GatewayContext, read: SettingsReader) {
		super();
		this.#context = context;
		this.#read = read;
		this.#onHangUp = () => {
			void this.reload('signal');
		};
	}

	override get name() {
		return 'settings';
	}

	override async start() {
		process.on('SIGHUP', this.#onHangUp);
		this.#timer = setInterval(() => {
			void this.reload('interval');
		}, RELOAD_INTERVAL_MS);
	}

	override async stop() {
		clearInterval(this.#timer);
		process.off('SIGHUP', this.#onHangUp);
	}

	/** Reads the settings and takes what may change while the daemon runs. */
	async reload(cause: 'interval' | 'signal'): Promise<void> {
		const {settings, logger} = this.#context;
		try {
			const {seeds} = await this.#read();
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
