import {asId, type CallerId} from '@marjoramcove/types';
import {packCreditAnswer, packCreditMessage} from './credit-codec.ts';
import {QuotaBorrower} from './quota-borrower.ts';
import type {QuotaDecision} from './quota-decision.ts';
import type {
	CreditAnswer,
	CreditMessage,
	QuotaLimit,
	QuotaTolerance,
} from './quota-messages.ts';
import {QuotaOwner} from './quota-owner.ts';

export const TOLERANCE: QuotaTolerance = {
	windowMs: 5000,
	overrunShare: 0.1,
	overrunRequests: 20,
};

/** Age of a quorum confirmation up to which an owner grants. */
const CONFIRMATION_LIMIT_MS = 450;

/** Timeout of a message of an entry daemon. */
const ANSWER_TIMEOUT_MS = 250;

export const teamOf = (index: number): CallerId => asId<CallerId>(`t${index}`);

/** Creates a random source with a seed, so that a failure can be repeated. */
export const createRandom = (seed: number) => {
	let state = seed;
	return () => {
		state = (Math.imul(state, 1_664_525) + 1_013_904_223) % 4_294_967_296;
		return (state < 0 ? state + 4_294_967_296 : state) / 4_294_967_296;
	};
};

/** Calls functions in the order of their virtual times. */
export class EventQueue {
	nowMs = 0;
	#events: Array<{atMs: number; order: number; run: () => void}> = [];
	#order = 0;

	at(atMs: number, run: () => void): void {
		const event = {atMs: Math.max(atMs, this.nowMs), order: this.#order++, run};
		let index = this.#events.length;
		this.#events.push(event);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(event, this.#events[parent]!)) {
				break;
			}

			this.#events[index] = this.#events[parent]!;
			index = parent;
		}

		this.#events[index] = event;
	}

	runUntil(endMs: number): void {
		while (this.#events.length > 0 && this.#events[0]!.atMs <= endMs) {
			const {atMs, run} = this.#pop();
			this.nowMs = atMs;
			run();
		}

		this.nowMs = endMs;
	}

	#pop() {
		const first = this.#events[0]!;
		const last = this.#events.pop()!;
		if (this.#events.length > 0) {
			let index = 0;
			for (;;) {
				let child = 2 * index + 1;
				if (child >= this.#events.length) {
					break;
				}

				if (
					child + 1 < this.#events.length &&
					isBefore(this.#events[child + 1]!, this.#events[child]!)
				) {
					child++;
				}

				if (!isBefore(this.#events[child]!, last)) {
					break;
				}

				this.#events[index] = this.#events[child]!;
				index = child;
			}

			this.#events[index] = last;
		}

		return first;
	}
}

const isBefore = (
	a: {atMs: number; order: number},
	b: {atMs: number; order: number},
) => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/** Times between which something is the case. */
export type Period = {fromMs: number; toMs: number};

const isWithin = (periods: Period[], atMs: number): boolean =>
	periods.some(({fromMs, toMs}) => atMs >= fromMs && atMs < toMs);

export type NetworkOptions = {
	random: () => number;
	lossShare: number;
	doubleShare: number;
	/** Longest delay of a message in one direction; delays are drawn evenly, so messages overtake each other. */
	maxDelayMs: number;
	/** Periods in which entry daemons with odd numbers do not reach the owner. */
	partitions: Period[];
};

/**
 * One control daemon after another that owns the quotas. A new one leads as soon as the confirmation of the
 * last may be too old, which is the earliest that an election allows.
 */
export type OwnerTerm = {
	startsAtMs: number;
	/** Last confirmation by a quorum; afterwards the daemon grants only until it is too old. */
	lastConfirmedAtMs: number;
	/** Periods in which the process is frozen; messages wait until it resumes. */
	frozen: Period[];
};

/** A decision, or that no owner answered in time. */
export type PlayDecision = QuotaDecision | {type: 'no-owner'};

type Pending = {settle: (decision: PlayDecision) => void};

type Entry = {
	index: number;
	borrower: QuotaBorrower;
	pending: Map<number, Pending>;
	isDead: boolean;
	timerAtMs: number;
};

/** Plays owners and entry daemons without a network. */
export class QuotaPlay {
	readonly queue = new EventQueue();
	readonly entries: Entry[];
	messages = 0;
	bytes = 0;
	readonly #network: NetworkOptions;
	readonly #terms: Array<OwnerTerm & {owner?: QuotaOwner}>;
	#limits: ReadonlyMap<CallerId, QuotaLimit>;

	constructor({
		entryCount,
		limits,
		network,
		terms,
	}: {
		entryCount: number;
		limits: ReadonlyMap<CallerId, QuotaLimit>;
		network: NetworkOptions;
		terms: OwnerTerm[];
	}) {
		this.#network = network;
		this.#limits = limits;
		this.#terms = terms;
		this.entries = Array.from({length: entryCount}, (_, index) =>
			this.#createEntry(index),
		);
	}

	setLimits(limits: ReadonlyMap<CallerId, QuotaLimit>): void {
		this.#limits = limits;
		for (const {owner} of this.#terms) {
			owner?.setLimits(limits, this.queue.nowMs);
		}
	}

	/** Replaces an entry daemon by a new process; what it held is lost. */
	restart(index: number): void {
		this.entries[index]!.isDead = true;
		this.entries[index] = this.#createEntry(index);
	}

	/** Takes credit for a request. */
	take(
		index: number,
		request: {
			teamId: CallerId;
			programHash?: number;
			mayBeFirstTurn?: boolean;
			patienceMs?: number;
		},
		settle: (decision: PlayDecision, entry: Entry, ticket: number) => void,
	): void {
		const entry = this.entries[index]!;
		const {nowMs} = this.queue;
		const deadlineMs = nowMs + (request.patienceMs ?? 1000);
		const {ticket, decision} = entry.borrower.take(
			{mayBeFirstTurn: false, ...request},
			nowMs,
		);
		if (decision) {
			settle(decision, entry, ticket);
		} else {
			entry.pending.set(ticket, {
				settle(decided) {
					settle(decided, entry, ticket);
				},
			});
			this.queue.at(deadlineMs, () => {
				if (entry.pending.has(ticket)) {
					entry.borrower.finish(ticket, {hasRun: false}, this.queue.nowMs);
					this.#settle(entry, [{ticket, decision: {type: 'no-owner'}}]);
				}
			});
		}

		this.#schedule(entry);
	}

	finish(entry: Entry, ticket: number, hasRun: boolean): void {
		entry.borrower.finish(ticket, {hasRun}, this.queue.nowMs);
		this.#schedule(entry);
	}

	#createEntry(index: number): Entry {
		return {
			index,
			borrower: new QuotaBorrower(
				`10.0.0.${index}:7140/${Math.round(1e7 + this.queue.nowMs)}`,
			),
			pending: new Map(),
			isDead: false,
			timerAtMs: Infinity,
		};
	}

	#schedule(entry: Entry): void {
		const atMs = entry.borrower.nextMessageAtMs();
		if (atMs < entry.timerAtMs && !entry.isDead) {
			entry.timerAtMs = atMs;
			this.queue.at(atMs, () => {
				if (entry.timerAtMs === atMs) {
					entry.timerAtMs = Infinity;
				}

				if (
					!entry.isDead &&
					entry.borrower.nextMessageAtMs() <= this.queue.nowMs
				) {
					this.#send(entry);
				}

				this.#schedule(entry);
			});
		}
	}

	#send(entry: Entry): void {
		const message = entry.borrower.createMessage(this.queue.nowMs);
		if (!message) {
			return;
		}

		this.messages++;
		this.bytes += JSON.stringify(packCreditMessage(message)).length;
		this.#transmit(entry, () => {
			this.#deliver(entry, message);
		});
		this.queue.at(this.queue.nowMs + ANSWER_TIMEOUT_MS, () => {
			entry.borrower.handleLoss(message.sequence, this.queue.nowMs);
			this.#schedule(entry);
		});
	}

	#deliver(entry: Entry, message: CreditMessage): void {
		const {nowMs} = this.queue;
		// The latest started owner is the one that an entry daemon knows; an old one is asked on odd messages.
		const started = this.#terms.filter(({startsAtMs}) => startsAtMs <= nowMs);
		const term =
			started.at(message.sequence % 2 === 0 ? -1 : -2) ?? started.at(-1);
		if (!term) {
			return;
		}

		const frozen = term.frozen.find(
			({fromMs, toMs}) => nowMs >= fromMs && nowMs < toMs,
		);
		if (frozen) {
			this.queue.at(frozen.toMs, () => {
				this.#deliver(entry, message);
			});
			return;
		}

		const confirmedAtMs = isWithin(term.frozen, term.lastConfirmedAtMs)
			? term.startsAtMs
			: Math.min(nowMs, term.lastConfirmedAtMs);
		if (nowMs - confirmedAtMs >= CONFIRMATION_LIMIT_MS) {
			return;
		}

		const answer = this.#ownerOf(term).answer(message, nowMs);
		this.bytes += JSON.stringify(packCreditAnswer(answer)).length;
		this.#transmit(entry, () => {
			this.#receive(entry, message.sequence, answer);
		});
	}

	#ownerOf(term: OwnerTerm & {owner?: QuotaOwner}): QuotaOwner {
		if (!term.owner) {
			term.owner = new QuotaOwner(
				`o${term.startsAtMs}`,
				TOLERANCE,
				term.startsAtMs,
			);
			term.owner.setLimits(this.#limits, term.startsAtMs);
		}

		return term.owner;
	}

	#receive(entry: Entry, sequence: number, answer: CreditAnswer): void {
		if (entry.isDead) {
			return;
		}

		this.#settle(
			entry,
			entry.borrower.handleAnswer(sequence, answer, this.queue.nowMs),
		);
		this.#schedule(entry);
	}

	#settle(
		entry: Entry,
		settled: Array<{ticket: number; decision: PlayDecision}>,
	): void {
		for (const {ticket, decision} of settled) {
			const pending = entry.pending.get(ticket);
			entry.pending.delete(ticket);
			if (!entry.isDead) {
				pending?.settle(decision);
			}
		}
	}

	#transmit(entry: Entry, arrive: () => void): void {
		const {random, lossShare, doubleShare, maxDelayMs, partitions} =
			this.#network;
		const copies = random() < doubleShare ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const isCut =
				entry.index % 2 === 1 && isWithin(partitions, this.queue.nowMs);
			if (!isCut && random() >= lossShare) {
				this.queue.at(this.queue.nowMs + random() * maxDelayMs, arrive);
			}
		}
	}
}
