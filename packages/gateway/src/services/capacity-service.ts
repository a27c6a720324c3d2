import {readFile} from 'node:fs/promises';
import {reasonOf} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {CapacityLevels} from '../capacity-levels.ts';
import type {GatewayContext} from '../gateway-context.ts';
import type {DaemonResources} from '../gateway-settings.ts';
import {parseProcessIo, type ProcessIo} from '../parse-process-io.ts';
import type {FleetService} from './fleet-service.ts';

/** Interval of the measurements; two of them in succession raise the level. */
const MEASURE_INTERVAL_MS = 1000;

/** Bytes that the process has read and written, on sockets and files. Only present on Linux. */
const PROCESS_IO_FILE = '/proc/self/io';

/** Measures the use of memory and link of an entry daemon and reports its capacity to the directory. */
export class CapacityService extends Service {
	readonly #context: GatewayContext;
	readonly #resources: DaemonResources;
	readonly #levels: CapacityLevels;
	#fleet!: FleetService;
	#last: (ProcessIo & {atMs: number}) | undefined;
	#timer: NodeJS.Timeout | undefined;

	constructor(context: GatewayContext, resources: DaemonResources) {
		super();
		this.#context = context;
		this.#resources = resources;
		this.#levels = new CapacityLevels(resources);
	}

	override get name() {
		return 'capacity';
	}

	override async start(kernel: ServiceDirectory) {
		this.#fleet = kernel.get<FleetService>('fleet');
		this.#fleet.reportFields.capacity = this.#levels.capacity;
		this.#timer = setInterval(() => {
			void this.#measure();
		}, MEASURE_INTERVAL_MS);
	}

	override async stop() {
		clearInterval(this.#timer);
	}

	async #measure(): Promise<void> {
		const linkShare = await this.#measureLinkShare();
		const memoryShare = process.memoryUsage.rss() / this.#resources.memoryBytes;
		if (this.#levels.record({memoryShare, linkShare}, performance.now())) {
			const {capacity} = this.#levels;
			this.#fleet.reportFields.capacity = capacity;
			this.#context.logger.info({
				event: 'capacity-changed',
				cores: capacity.cores,
				pressure: capacity.pressure ?? 0,
				memoryPercent: Math.round(memoryShare * 100),
				linkPercent: Math.round(linkShare * 100),
			});
		}
	}

	/** The link carries both directions at once, so that the busier one counts. */
	async #measureLinkShare(): Promise<number> {
		try {
			const text = await readFile(PROCESS_IO_FILE, 'utf8');
			const next = {...parseProcessIo(text), atMs: performance.now()};
			const last = this.#last ?? next;
			this.#last = next;
			const seconds = Math.max(0.001, (next.atMs - last.atMs) / 1000);
			const bytes = Math.max(
				next.readBytes - last.readBytes,
				next.writtenBytes - last.writtenBytes,
			);
			return (bytes * 8) / seconds / this.#resources.linkBitsPerSecond;
		} catch (error) {
			this.#context.retries.increment({
				step: 'capacity.measure',
				reason: reasonOf(error),
			});
			return 0;
		}
	}
}
