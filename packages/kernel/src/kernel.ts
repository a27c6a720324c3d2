import {RefusedError} from '@marjoramcove/errors';
import type {Service, ServiceDirectory} from './service.ts';

/**
 * Hosts services, which find each other by name.
 *
 * @example
 * ```ts
 * const kernel = new Kernel();
 * kernel.register(new MetricsService());
 * await kernel.start();
 * await kernel.stop();
 * ```
 */
export class Kernel implements ServiceDirectory {
	readonly #services = new Map<string, Service>();
	#started: Service[] = [];

	/**
	 * Adds a service.
	 *
	 * @throws RefusedError when another service has the same name.
	 */
	register(service: Service): this {
		if (this.#services.has(service.name)) {
			throw new RefusedError(`A service named ${service.name} exists.`, {
				reason: 'service-name-taken',
				hint: 'Give each service its own name.',
			});
		}

		this.#services.set(service.name, service);
		return this;
	}

	/**
	 * Finds a service by name.
	 *
	 * @throws RefusedError when no service has this name.
	 */
	get<Wanted extends Service>(name: string): Wanted {
		const service = this.#services.get(name);
		if (!service) {
			throw new RefusedError(`No service is named ${name}.`, {
				reason: 'service-unknown',
				hint: `Known services: ${[...this.#services.keys()].join(', ')}.`,
			});
		}

		return service as Wanted;
	}

	/** Starts all services in the order of registration. When one fails, stops those already started. */
	async start(): Promise<void> {
		for (const service of this.#services.values()) {
			try {
				await service.start(this);
			} catch (error) {
				await this.stop();
				throw error;
			}

			this.#started.push(service);
		}
	}

	/** Drains all services concurrently, beginning with the last registered, and waits for all of them. */
	async drain(): Promise<void> {
		await Promise.all(
			this.#started.toReversed().map(async (service) => service.drain()),
		);
	}

	/** Stops the started services in the reverse order. */
	async stop(): Promise<void> {
		const started = this.#started.toReversed();
		this.#started = [];
		for (const service of started) {
			await service.stop();
		}
	}
}
