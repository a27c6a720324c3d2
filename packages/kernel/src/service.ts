/**
 * Base class of the services that a kernel hosts.
 *
 * A service looks up its dependencies by name in {@link Service.start}; the kernel starts services
 * in the order of registration and stops them in the reverse order.
 */
export abstract class Service {
	/** Name under which other services find this one. */
	abstract readonly name: string;

	/** Finishes accepted work and accepts no new work. Called before any service stops. */
	async drain(): Promise<void> {
		// By default there is no work to finish.
	}

	/** Starts the service; the services registered before it are running. */
	abstract start(kernel: ServiceDirectory): Promise<void>;

	/** Releases timers, sockets and files. */
	abstract stop(): Promise<void>;
}

/** Finds services by name. */
export type ServiceDirectory = {
	get<Wanted extends Service>(name: string): Wanted;
};
