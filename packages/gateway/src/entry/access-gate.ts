import {
	type AccessDecision,
	type AccessKnowledge,
	type AccessRefusalReason,
	decideAccess,
	digestKey,
	KeyTable,
	leaseOfKeysMs,
	type PresentedKey,
	recheckAccess,
} from '@marjoramcove/access';
import type {RequestHead} from '@marjoramcove/ingress';
import type {Route, RouteTable, RoutingDocument} from '@marjoramcove/routes';
import type {FleetView} from '../fleet-view.ts';
import type {GatewaySettings} from '../gateway-settings.ts';
import type {RequestContext} from './request-context.ts';

/**
 * Longest wait for a confirmation after a jump of the clocks. A parent answers within milliseconds; a request
 * that waited much longer would be refused too late for a retry.
 */
const MAX_CONFIRMATION_WAIT_MS = 250;

/** Digests the key of a request; several keys are no valid key. */
const readPresentedKey = ({keys = []}: RequestHead): PresentedKey => {
	const [key] = keys;
	if (key === undefined) {
		return {type: 'none'};
	}

	return keys.length === 1 && key !== ''
		? {type: 'digest', digest: digestKey(key)}
		: {type: 'unreadable'};
};

/** Applies the access decisions to the routing document in force and the confirmation of this daemon. */
export class AccessGate {
	readonly #view: FleetView;
	readonly #leaseMs: number;
	#table: RouteTable | undefined;
	#keys: KeyTable | undefined;

	constructor(view: FleetView, {timing, access}: GatewaySettings) {
		this.#view = view;
		this.#leaseMs = leaseOfKeysMs({
			configurationLeaseMs: timing.configurationLeaseMs,
			revocationLimitMs: access?.revocationLimitMs,
		});
	}

	/** Whether callers need keys, so that servers are told the team and not the key. */
	get hasTeams(): boolean {
		return this.#keys !== undefined;
	}

	/** Whether the confirmation is recent enough to serve callers of this document. */
	get hasLease(): boolean {
		return !this.#keys || this.#knowledge.confirmedAgeMs <= this.#leaseMs;
	}

	/** The document in force; `undefined` if none was adopted. */
	get document(): RoutingDocument | undefined {
		return this.#table?.document;
	}

	/** Numbers of teams and keys of the document in force; empty if it has none. */
	get counts(): {teams?: number; keys?: number} {
		return this.#keys
			? {teams: this.#keys.teamCount, keys: this.#keys.keyCount}
			: {};
	}

	/** Adopts the document in force. */
	adopt(table: RouteTable): void {
		const {teams} = table.document;
		this.#table = table;
		this.#keys = teams && new KeyTable(teams);
	}

	/**
	 * Waits for a confirmation after a jump of the clocks, which a parent gives within milliseconds.
	 *
	 * @returns `undefined` if there is nothing to wait for.
	 */
	waitUntilSure(): Promise<void> | undefined {
		this.#view.checkClocks();
		return this.#isWaiting ? this.#wait() : undefined;
	}

	/** Decides about a request that arrives. */
	decide(
		head: RequestHead,
		{isPublic}: Pick<Route, 'isPublic'>,
	): AccessDecision {
		return this.#keys
			? decideAccess(this.#knowledge, readPresentedKey(head), isPublic)
			: {type: 'granted'};
	}

	/** Decides again about a request that is about to be sent. */
	recheck(request: RequestContext): AccessRefusalReason | undefined {
		if (!this.#keys && request.keyDigest === undefined) {
			return undefined;
		}

		return recheckAccess(
			this.#knowledge,
			request,
			this.#findRoute(request).isPublic,
		);
	}

	/** Whether a confirmation after the last jump of the clocks is still expected. */
	get #isWaiting(): boolean {
		const {surelyConfirmedAtMs, lastJump} = this.#view;
		return (
			this.#keys !== undefined &&
			lastJump !== undefined &&
			!Number.isFinite(surelyConfirmedAtMs) &&
			this.#remainingWaitMs > 0
		);
	}

	/** The wait is bounded from the jump on, so that a daemon that is cut off refuses at once afterwards. */
	get #remainingWaitMs(): number {
		const {lastJump} = this.#view;
		return (lastJump?.atMs ?? 0) + MAX_CONFIRMATION_WAIT_MS - performance.now();
	}

	async #wait(): Promise<void> {
		while (this.#isWaiting) {
			await this.#view.waitForChange(this.#remainingWaitMs);
		}
	}

	get #knowledge(): AccessKnowledge {
		this.#view.checkClocks();
		return {
			keys: this.#keys,
			confirmedAgeMs: this.#isOutdated
				? Number.POSITIVE_INFINITY
				: performance.now() - this.#view.surelyConfirmedAtMs,
			leaseMs: this.#leaseMs,
		};
	}

	/** Whether a newer document arrived that could not be applied, so that the confirmation is not about this one. */
	get #isOutdated(): boolean {
		const {document} = this.#view.topics;
		return (
			document !== undefined &&
			document.version !== this.#table?.document.version
		);
	}

	/** Finds the route in the document in force, which may be newer than the one of the request. */
	#findRoute({route, exchange, documentVersion}: RequestContext): Route {
		const table = this.#table;
		return table && table.document.version !== documentVersion
			? (table.findRoute(exchange.host, exchange.target) ?? route)
			: route;
	}
}
