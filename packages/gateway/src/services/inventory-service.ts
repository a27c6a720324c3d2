import {messageOf, reasonOf} from '@marjoramcove/errors';
import {
	diffServers,
	type InventorySource,
	type ListedServer,
	readInventory,
} from '@marjoramcove/inventory';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {GatewayContext} from '../gateway-context.ts';
import type {ControlService} from './control-service.ts';

/**
 * Polls the server list while this daemon leads the configuration group. Only the leader polls, because
 * the list accepts a limited number of calls.
 */
export class InventoryService extends Service {
	readonly #context: GatewayContext;
	readonly #source: InventorySource;
	#control!: ControlService;
	#timer: NodeJS.Timeout | undefined;
	#isPolling = false;
	#isFailing = false;
	#sequence = {term: 0, count: 0};

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		this.#source = context.adapter.createInventory();
	}

	override get name() {
		return 'inventory';
	}

	override async start(kernel: ServiceDirectory) {
		this.#control = kernel.get<ControlService>('control');
		const {inventoryPollMs} = this.#context.settings.timing;
		this.#control.onBecomeLeader(() => {
			void this.#poll();
		});
		this.#timer = setInterval(() => {
			void this.#poll();
		}, inventoryPollMs);
	}

	override async stop() {
		clearInterval(this.#timer);
	}

	async #poll(): Promise<void> {
		const term = this.#control.leaderTerm;
		if (term === undefined || this.#isPolling) {
			return;
		}

		this.#isPolling = true;
		try {
			const {servers, skippedEntries} = await readInventory(this.#source);
			this.#handleSuccess(skippedEntries);
			this.#publish(term, servers);
		} catch (error) {
			this.#handleFailure(error);
		} finally {
			this.#isPolling = false;
		}
	}

	#publish(term: number, servers: ListedServer[]): void {
		const {view, logger} = this.#context;
		const {added, removed, draining} = diffServers(view.servers, servers);
		const isUnchanged =
			JSON.stringify(view.servers) === JSON.stringify(servers);
		if (isUnchanged && view.topics.servers) {
			return;
		}

		this.#sequence =
			this.#sequence.term === term
				? {term, count: this.#sequence.count + 1}
				: {term, count: 0};
		view.merge({
			servers: {stamp: {term, sequence: this.#sequence.count}, items: servers},
		});
		logger.info({
			event: 'servers-changed',
			servers: servers.length,
			added: added.map(({id}) => id).join(','),
			removed: removed.map(({id}) => id).join(','),
			draining: draining.map(({id}) => id).join(','),
		});
	}

	#handleSuccess(skippedEntries: number): void {
		const {metrics, logger} = this.#context;
		metrics
			.gauge(
				'marjoramcove_inventory_skipped_entries',
				'Entries of the last reading of the list that describe no server.',
			)
			.set(skippedEntries);
		if (this.#isFailing) {
			this.#isFailing = false;
			logger.info({event: 'inventory-regained'});
		}
	}

	#handleFailure(error: unknown): void {
		this.#context.retries.increment({
			step: 'inventory',
			reason: reasonOf(error),
		});
		if (!this.#isFailing) {
			this.#isFailing = true;
			this.#context.logger.warn({
				event: 'inventory-lost',
				reason: reasonOf(error),
				error: messageOf(error),
			});
		}
	}
}
