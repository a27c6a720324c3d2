import {messageOf} from '@marjoramcove/errors';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import type {Gauge} from '@marjoramcove/metrics';
import {
	packCreditAnswer,
	type PackedCreditMessage,
	QuotaOwner,
	unpackCreditMessage,
} from '@marjoramcove/quotas';
import type {QuotaUse} from '../describe-quotas.ts';
import type {GatewayContext} from '../gateway-context.ts';
import type {QuotaSettings} from '../gateway-settings.ts';
import {borrowCreditInput, type BorrowCreditOutput} from '../peer-messages.ts';
import {readQuotaLimits} from '../read-quota-limits.ts';
import type {ControlService} from './control-service.ts';
import type {PeersService} from './peers-service.ts';

/** Interval at which changes are logged and gauges are set while entry daemons ask for credit. */
const REPORT_INTERVAL_MS = 1000;

/** Number of teams with gauges, so that thousands of teams do not become thousands of series. */
const MAX_GAUGE_TEAMS = 20;

type Ownership = {owner: QuotaOwner; term: number; documentVersion: number};

/**
 * Lends the credit of all teams while this daemon leads the control group and a quorum has confirmed that
 * lately. Nothing is replicated: each term starts with empty buckets.
 */
export class QuotaOwnerService extends Service {
	readonly #context: GatewayContext;
	readonly #control: ControlService;
	readonly #settings: QuotaSettings;
	readonly #lent: Gauge;
	readonly #used: Gauge;
	readonly #gaugeTeams = new Set<string>();
	#ownership: Ownership | undefined;
	#timer: NodeJS.Timeout | undefined;
	#isIdle = true;

	constructor(
		context: GatewayContext,
		control: ControlService,
		settings: QuotaSettings,
	) {
		super();
		this.#context = context;
		this.#control = control;
		this.#settings = settings;
		this.#lent = context.metrics.gauge(
			'marjoramcove_quota_lent_requests',
			'Credit lent by this owner to the busiest teams.',
		);
		this.#used = context.metrics.gauge(
			'marjoramcove_quota_used_requests',
			'Credit lent by this owner to the busiest teams and not returned.',
		);
		context.describeQuotas = () => this.#describe();
	}

	override get name() {
		return 'quota-owner';
	}

	override async start(kernel: ServiceDirectory) {
		const {network} = kernel.get<PeersService>('peers');
		const requests = this.#context.metrics.counter(
			'marjoramcove_quota_messages_total',
			'Messages of entry daemons that ask for credit, by outcome.',
		);
		network.handle('quotas.borrow', borrowCreditInput, async (message) => {
			const output = this.#answer(message);
			requests.increment({outcome: output.answer ? 'answered' : 'not-owner'});
			return output;
		});
		this.#control.onBecomeLeader(() => {
			// Credit accrues from the election on, not from the first request.
			this.#own(performance.now());
		});
		this.#context.view.onChange((topic) => {
			if (topic === 'document') {
				// A new team has credit by its first request, and a changed rate applies at once.
				this.#own(performance.now());
			}
		});
		this.#timer = setInterval(() => {
			this.#report();
		}, REPORT_INTERVAL_MS);
	}

	override async stop() {
		clearInterval(this.#timer);
	}

	#answer(message: PackedCreditMessage): BorrowCreditOutput {
		if (this.#control.confirmedTerm === undefined) {
			return {};
		}

		const nowMs = performance.now();
		this.#isIdle = false;
		const owner = this.#own(nowMs);
		if (!owner) {
			return {};
		}

		const answer = owner.answer(unpackCreditMessage(message), nowMs);
		return {answer: packCreditAnswer(answer)};
	}

	/** Returns the owner of the present term with the limits of the document in force. */
	#own(nowMs: number): QuotaOwner | undefined {
		const {view} = this.#context;
		const term = this.#control.leaderTerm;
		if (term === undefined) {
			return undefined;
		}

		// One daemon at most leads in a term, and a restarted one leads in a later term.
		if (this.#ownership?.term !== term) {
			this.#ownership = {
				owner: new QuotaOwner(String(term), this.#settings, nowMs),
				term,
				documentVersion: -1,
			};
		}

		const {document} = view.topics;
		if (document && document.version !== this.#ownership.documentVersion) {
			this.#ownership.documentVersion = document.version;
			this.#applyLimits(this.#ownership.owner, document.bytes, nowMs);
		}

		return this.#ownership.owner;
	}

	#applyLimits(owner: QuotaOwner, bytes: Uint8Array, nowMs: number): void {
		const {adapter, logger} = this.#context;
		try {
			const {version, teams = []} = adapter.decodeDocument(bytes);
			const limits = readQuotaLimits(teams);
			owner.setLimits(limits, nowMs);
			logger.info({
				event: 'quotas-applied',
				documentVersion: version,
				teams: limits.size,
			});
		} catch (error) {
			// Only valid documents are stored; the former limits stay in force.
			logger.error({event: 'quotas-not-applied', error: messageOf(error)});
		}
	}

	#describe(): QuotaUse {
		const nowMs = performance.now();
		const isOwner = this.#control.confirmedTerm !== undefined;
		return {
			isOwner,
			teams: isOwner ? (this.#own(nowMs)?.describe(nowMs) ?? []) : [],
		};
	}

	#report(): void {
		const {owner, term} = this.#ownership ?? {};
		if (this.#isIdle || !owner || term !== this.#control.leaderTerm) {
			return;
		}

		const nowMs = performance.now();
		const changes = owner.takeLimitedChanges(nowMs);
		// One more report after the last message, because a team stops being limited without one.
		this.#isIdle = changes.length === 0 && !owner.hasLimitedTeams;
		for (const {teamId, isLimited} of changes) {
			this.#context.logger.info({
				event: isLimited ? 'team-limited' : 'team-unlimited',
				team: teamId,
			});
		}

		this.#setGauges(owner, nowMs);
	}

	#setGauges(owner: QuotaOwner, nowMs: number): void {
		for (const use of owner.describe(nowMs).slice(0, MAX_GAUGE_TEAMS)) {
			const {teamId: team, grantedRequests, returnedRequests} = use;
			if (
				this.#gaugeTeams.has(team) ||
				this.#gaugeTeams.size < MAX_GAUGE_TEAMS
			) {
				this.#gaugeTeams.add(team);
				this.#lent.set(grantedRequests, {team});
				this.#used.set(grantedRequests - returnedRequests, {team});
			}
		}
	}
}
