import {reasonOf} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {
	QuotaBorrower,
	type QuotaDecision,
	type QuotaLimit,
	type QuotaRequest,
	packCreditMessage,
	unpackCreditAnswer,
} from '@marjoramcove/quotas';
import type {Team} from '@marjoramcove/routes';
import type {CallerId} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import type {BorrowCreditOutput} from '../peer-messages.ts';
import {readQuotaLimits} from '../read-quota-limits.ts';
import type {PeersService} from './peers-service.ts';

/** Timeout of a message; credit that comes later has nearly expired. */
const ANSWER_TIMEOUT_MS = 250;

/** Characters of the incarnation that tell the processes of one daemon apart. */
const INCARNATION_LENGTH = 8;

/** A decision, or that no owner answered in time, which says nothing about the quota. */
export type BorrowDecision = QuotaDecision | {type: 'no-owner'};

/** Borrows credit for the requests of this entry daemon from the owner of the quotas. */
export class QuotaBorrowerService extends Service {
	readonly #context: GatewayContext;
	readonly #borrower: QuotaBorrower;
	readonly #waiting = new Map<number, (decision: BorrowDecision) => void>();
	#limits = new Map<CallerId, QuotaLimit>();
	#peers!: PeersService;
	#timer: NodeJS.Timeout | undefined;
	#timerAtMs = Infinity;
	#isStopped = false;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		const {daemonId} = context.settings;
		this.#borrower = new QuotaBorrower(
			`${daemonId}/${context.incarnation.slice(0, INCARNATION_LENGTH)}`,
		);
	}

	override get name() {
		return 'quotas';
	}

	override async start(kernel: ServiceDirectory) {
		this.#peers = kernel.get<PeersService>('peers');
	}

	override async stop() {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	/** Adopts the quotas of the document in force. */
	setTeams(teams: readonly Team[]): void {
		this.#limits = readQuotaLimits(teams);
	}

	hasLimit(teamId: CallerId): boolean {
		return this.#limits.has(teamId);
	}

	/**
	 * Takes a credit, or waits for the answer of the owner.
	 *
	 * @param options.deadlineMs - monotonic time until which it waits.
	 * @param options.onTicket - called with the ticket before the wait, so that a caller that leaves can end it.
	 */
	async take(
		request: QuotaRequest,
		{
			deadlineMs,
			onTicket,
		}: {deadlineMs: number; onTicket: (ticket: number) => void},
	): Promise<BorrowDecision> {
		const {ticket, decision} = this.#borrower.take(request, performance.now());
		onTicket(ticket);
		this.#schedule();
		if (decision) {
			return decision;
		}

		return new Promise((resolve) => {
			const timer = setTimeout(
				() => {
					this.finish(ticket, false);
				},
				Math.max(1, Math.ceil(deadlineMs - performance.now())),
			);
			this.#waiting.set(ticket, (settled) => {
				clearTimeout(timer);
				resolve(settled);
			});
		});
	}

	/** Whether the credit of a request may still be used. */
	isCurrent(ticket: number): boolean {
		return this.#borrower.isCurrent(ticket, performance.now());
	}

	/** Ends a request; its credit goes back once if it did not run. */
	finish(ticket: number, hasRun: boolean): void {
		this.#borrower.finish(ticket, {hasRun}, performance.now());
		this.#settle([{ticket, decision: {type: 'no-owner'}}]);
		this.#schedule();
	}

	#schedule(): void {
		const atMs = this.#borrower.nextMessageAtMs();
		if (atMs >= this.#timerAtMs || this.#isStopped) {
			return;
		}

		clearTimeout(this.#timer);
		this.#timerAtMs = atMs;
		this.#timer = setTimeout(
			() => {
				this.#timerAtMs = Infinity;
				if (this.#borrower.nextMessageAtMs() <= performance.now()) {
					void this.#exchange();
				}

				this.#schedule();
			},
			Math.max(0, Math.ceil(atMs - performance.now())),
		);
	}

	async #exchange(): Promise<void> {
		const message = this.#borrower.createMessage(performance.now());
		if (!message) {
			return;
		}

		try {
			const {answer} = await this.#callOwner(packCreditMessage(message));
			if (answer) {
				this.#settle(
					this.#borrower.handleAnswer(
						message.sequence,
						unpackCreditAnswer(answer),
						performance.now(),
					),
				);
			} else {
				this.#recordLoss(message.sequence, 'not-owner');
			}
		} catch (error) {
			this.#recordLoss(message.sequence, reasonOf(error));
		}

		this.#schedule();
	}

	async #callOwner(message: unknown): Promise<BorrowCreditOutput> {
		const {leaderId} = this.#context.view;
		return leaderId === undefined
			? {}
			: this.#peers.network.call<BorrowCreditOutput>(
					leaderId,
					'quotas.borrow',
					message,
					{timeoutMs: ANSWER_TIMEOUT_MS, channel: 'control'},
				);
	}

	#recordLoss(sequence: number, reason: string): void {
		this.#context.retries.increment({step: 'quotas.borrow', reason});
		this.#borrower.handleLoss(sequence, performance.now());
	}

	#settle(settled: Array<{ticket: number; decision: BorrowDecision}>): void {
		for (const {ticket, decision} of settled) {
			const resolve = this.#waiting.get(ticket);
			this.#waiting.delete(ticket);
			resolve?.(decision);
		}
	}
}
