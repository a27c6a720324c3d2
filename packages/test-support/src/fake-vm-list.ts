import type {Polka} from 'polka';
import {FakeHttpServer, sendJson} from './fake-http-server.ts';

/** An entry of the VM list. */
export type ListedVm = {address: string; state: 'live' | 'leaving'};

/** Fake VM list service whose changes become visible after a delay. */
export class FakeVmList extends FakeHttpServer {
	readonly #delayMs: number;
	readonly #versions: Array<{visibleAtMs: number; vms: ListedVm[]}> = [];

	constructor(delayMs = 1000) {
		super();
		this.#delayMs = delayMs;
	}

	/** Replaces the list. The first list is visible at once, each later one after the delay. */
	set(vms: ListedVm[]): void {
		const delayMs = this.#versions.length === 0 ? 0 : this.#delayMs;
		this.#versions.push({visibleAtMs: Date.now() + delayMs, vms});
	}

	protected override addRoutes(app: Polka): void {
		app.get('/vms', (_request, response) => {
			const nowMs = Date.now();
			const visible = this.#versions.findLast(
				(version) => version.visibleAtMs <= nowMs,
			);
			sendJson(response, 200, {vms: visible?.vms ?? []});
		});
	}
}
