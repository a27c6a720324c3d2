import type {Polka} from 'polka';
import {HttpStandIn, sendJson} from './http-stand-in.ts';

/** A VM as the list names it. */
export type ListedVm = {address: string; state: 'live' | 'leaving'};

/** Stand-in of the VM list; a change becomes visible after the lag. */
export class VmList extends HttpStandIn {
	readonly #lagMs: number;
	readonly #versions: Array<{visibleAtMs: number; vms: ListedVm[]}> = [];

	constructor(lagMs = 1000) {
		super();
		this.#lagMs = lagMs;
	}

	/** Replaces the list; readers see it after the lag, the first list at once. */
	set(vms: ListedVm[]): void {
		const lagMs = this.#versions.length === 0 ? 0 : this.#lagMs;
		this.#versions.push({visibleAtMs: Date.now() + lagMs, vms});
	}

	protected override route(app: Polka): void {
		app.get('/vms', (_request, response) => {
			const nowMs = Date.now();
			const visible = this.#versions.findLast(
				(version) => version.visibleAtMs <= nowMs,
			);
			sendJson(response, 200, {vms: visible?.vms ?? []});
		});
	}
}
