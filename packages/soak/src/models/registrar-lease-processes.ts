import {
	type ConfigurationDigest,
	createLeaseState,
	createRegistrarLease,
	grantLease,
	type LeaseEvent,
	readElapsedMs,
	stepLease,
	applyConfirmation,
} from '@marjoramcove/configuration';
import {
	createRoster,
	expireRoster,
	type MemberReport,
	type RegistrarSummary,
	registerMember,
	summariseRoster,
} from '@marjoramcove/membership';
import {
	asId,
	type DaemonId,
	type IncarnationId,
	type ZoneName,
} from '@marjoramcove/types';

/** Faults that can be injected into the model; each must be detected. */
export const REGISTRAR_LEASE_FAULTS = [
	'confirmed-from-answer',
	'full-lease-from-old-confirmation',
	'no-drift-allowance',
	'no-wall-clock',
	'confirm-without-round',
	'ignore-registrars',
	'grant-before-registering',
] as const;

export type RegistrarLeaseFault = (typeof REGISTRAR_LEASE_FAULTS)[number];

/** Without the drift allowance a lease lasts 80 ms too long, which must be more than a few steps. */
export const REGISTRAR_LEASE_MS = 8000;
/** Age from which a confirmation is renewed while it is still used. */
const CONFIRMATION_RENEWAL_MS = 250;
/** Maximum age of a confirmation that is used; with an older one, heartbeats wait for its renewal. */
const MAX_CONFIRMATION_AGE_MS = REGISTRAR_LEASE_MS / 8;
const HEARTBEAT_MS = 50;
const MEMBER_TIMEOUT_MS = 800;
/**
 * With the fault `grant-before-registering`, a daemon is registered only after this many
 * heartbeats.
 */
const REGISTRATION_DELAY_HEARTBEATS = 10;

/** Request of a registrar to the leader to confirm the revision. */
export type ConfirmMessage = RegistrarSummary & {
	confirmedRevision: number;
	/** Whether the message reaches a deposed leader behind a partition. */
	isForDeposedLeader: boolean;
	answer: (digest: ConfigurationDigest | undefined) => void;
};

/** Interface of the model for its processes. */
export type ModelContext = {
	readonly fault: RegistrarLeaseFault | undefined;
	readonly realMs: number;
	readonly revision: number;
	readonly randomPercent: number;
	readonly registrars: ModelRegistrar[];
	send(to: {frozenUntilMs: number} | undefined, run: () => void): void;
	confirm(message: ConfirmMessage): void;
};

/** A process with its own clocks; the monotonic clock stops while its VM is suspended. */
class ModelProcess {
	frozenUntilMs = 0;
	isSuspended = false;
	readonly context: ModelContext;
	protected readonly daemonId: DaemonId;
	readonly #rate: number;
	#monotonicMs = 0;
	#suspendedMs = 0;

	constructor(model: ModelContext, name: string, rate: number) {
		this.context = model;
		this.daemonId = asId<DaemonId>(name);
		this.#rate = rate;
	}

	/** The local times; the wall clock also advances while the VM is suspended. */
	get time(): {nowMs: number; wallMs: number} {
		const wallMs =
			this.context.fault === 'no-wall-clock'
				? this.#monotonicMs
				: this.#monotonicMs + this.#suspendedMs;
		return {nowMs: this.#monotonicMs, wallMs};
	}

	/** Advances the clocks and runs the process unless it is frozen. */
	advance(stepMs: number): void {
		const isFrozen = this.frozenUntilMs > this.context.realMs;
		if (isFrozen && this.isSuspended) {
			this.#suspendedMs += stepMs;
		} else {
			this.#monotonicMs += stepMs * this.#rate;
		}

		if (!isFrozen) {
			this.isSuspended = false;
			this.runStep();
		}
	}

	protected runStep(): void {
		// Subclasses override this method.
	}
}

/** A registrar as the daemon runs it, with at most one confirmation request per half renewal age. */
export class ModelRegistrar extends ModelProcess {
	/** Whether messages from the leader are lost. */
	isFromLeaderBlocked = false;
	/** Whether messages to the leader are lost. */
	isToLeaderBlocked = false;
	/** Whether messages of the daemons are lost in the same directions as those of the leader. */
	isDaemonTrafficBlocked = false;
	#lease = createRegistrarLease();
	#roster = createRoster();
	#incarnation = 1;
	#summarisedVersion: number | undefined;
	#lastRequestAtMs = Number.NEGATIVE_INFINITY;
	#isConfirmationNeeded = false;
	#pendingReplies: Array<() => void> = [];

	restart(): void {
		this.#lease = createRegistrarLease();
		this.#roster = createRoster();
		this.#incarnation++;
		this.#summarisedVersion = undefined;
		this.#pendingReplies = [];
		this.#lastRequestAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Registers the sender of a heartbeat and answers it once the confirmation is recent enough. */
	receiveHeartbeat(
		sequence: number,
		report: MemberReport,
		reply: (leaseMs: number, digest: ConfigurationDigest) => void,
	): void {
		const receivedAtMs = this.#elapsedMs;
		if (
			this.context.fault !== 'grant-before-registering' ||
			sequence > REGISTRATION_DELAY_HEARTBEATS
		) {
			registerMember(this.#roster, {sequence, report}, receivedAtMs);
		}

		const ageMs =
			receivedAtMs -
			(this.#lease.confirmation?.sentAtMs ?? -MAX_CONFIRMATION_AGE_MS);
		this.#isConfirmationNeeded ||= ageMs > CONFIRMATION_RENEWAL_MS;
		if (this.#lease.confirmation && ageMs <= MAX_CONFIRMATION_AGE_MS) {
			this.#grant(receivedAtMs, reply);
		} else {
			this.#pendingReplies.push(() => {
				this.#grant(receivedAtMs, reply);
			});
		}
	}

	protected override runStep(): void {
		const elapsedMs = this.#elapsedMs;
		expireRoster(
			this.#roster,
			{
				memberTimeoutMs: MEMBER_TIMEOUT_MS,
				keepRemovedMs: 2 * REGISTRAR_LEASE_MS,
			},
			elapsedMs,
		);
		const isDue =
			this.#isConfirmationNeeded ||
			this.#pendingReplies.length > 0 ||
			(this.#summarisedVersion ?? 0) < this.#roster.version;
		if (
			isDue &&
			elapsedMs >= this.#lastRequestAtMs + CONFIRMATION_RENEWAL_MS / 2
		) {
			this.#lastRequestAtMs = elapsedMs;
			this.#isConfirmationNeeded = false;
			this.#confirm();
		}
	}

	get #elapsedMs(): number {
		return readElapsedMs(this.#lease, this.time);
	}

	#confirm(): void {
		const {context} = this;
		const sentAtMs = this.#elapsedMs;
		const {version} = this.#roster;
		const incarnation = this.#incarnation;
		const message: ConfirmMessage = {
			registrarId: this.daemonId,
			incarnation: asId<IncarnationId>(`i${incarnation}`),
			confirmedRevision: this.#lease.confirmation?.digest.revision ?? -1,
			summary: summariseRoster(this.#roster, this.#summarisedVersion),
			isForDeposedLeader: context.randomPercent > 60,
			answer: (digest) => {
				this.#receive(incarnation, {sentAtMs, version, digest});
			},
		};
		if (!this.isToLeaderBlocked) {
			context.send(undefined, () => {
				context.confirm(message);
			});
		}
	}

	#receive(
		incarnation: number,
		answer: {
			sentAtMs: number;
			version: number;
			digest: ConfigurationDigest | undefined;
		},
	): void {
		this.context.send(this, () => {
			if (!this.isFromLeaderBlocked && incarnation === this.#incarnation) {
				this.#handleAnswer(answer);
			}
		});
	}

	#handleAnswer({
		sentAtMs,
		version,
		digest,
	}: {
		sentAtMs: number;
		version: number;
		digest: ConfigurationDigest | undefined;
	}): void {
		if (!digest) {
			this.#summarisedVersion = undefined;
			return;
		}

		this.#summarisedVersion = version;
		applyConfirmation(this.#lease, {
			sentAtMs:
				this.context.fault === 'confirmed-from-answer'
					? this.#elapsedMs
					: sentAtMs,
			leaseMs: REGISTRAR_LEASE_MS,
			digest,
		});
		const pendingReplies = this.#pendingReplies;
		this.#pendingReplies = [];
		for (const run of pendingReplies) {
			run();
		}
	}

	#grant(
		receivedAtMs: number,
		reply: (leaseMs: number, digest: ConfigurationDigest) => void,
	): void {
		const grant = grantLease(this.#lease, receivedAtMs);
		if (!grant || (this.isDaemonTrafficBlocked && this.isToLeaderBlocked)) {
			return;
		}

		const {fault} = this.context;
		const ageMs = Math.max(
			0,
			receivedAtMs - this.#lease.confirmation!.sentAtMs,
		);
		const leaseMs =
			fault === 'full-lease-from-old-confirmation'
				? REGISTRAR_LEASE_MS
				: fault === 'no-drift-allowance'
					? (REGISTRAR_LEASE_MS - ageMs) / 0.99
					: grant.leaseMs;
		reply(leaseMs, grant.digest);
	}
}

/** A daemon that sends heartbeats to one registrar and applies the revisions in the answers. */
export class ModelDaemon extends ModelProcess {
	registrar = 0;
	readonly lease = createLeaseState({freezeThresholdMs: 1000});
	#nextHeartbeatMs: number;

	constructor(
		context: ModelContext,
		name: string,
		rate: number,
		phaseMs: number,
	) {
		super(context, name, rate);
		this.#nextHeartbeatMs = phaseMs;
	}

	protected override runStep(): void {
		const {nowMs, wallMs} = this.time;
		this.#step({type: 'tick', wallMs});
		if (nowMs >= this.#nextHeartbeatMs) {
			this.#nextHeartbeatMs = nowMs + HEARTBEAT_MS;
			this.#step({type: 'send-heartbeat'});
		}
	}

	#step(event: LeaseEvent): void {
		for (const action of stepLease(this.lease, event, this.time.nowMs)
			.actions) {
			if (action.type === 'send-heartbeat') {
				this.#send(action.sequence, action.appliedRevision);
			}
		}
	}

	#send(sequence: number, appliedRevision: number): void {
		const {context, daemonId} = this;
		const registrar = context.registrars[this.registrar]!;
		const report: MemberReport = {
			daemonId,
			incarnation: asId<IncarnationId>('i1'),
			zone: asId<ZoneName>('zone-a'),
			address: 'address',
			phase: 'ready',
			appliedRevision,
		};
		context.send(registrar, () => {
			if (!(
				registrar.isDaemonTrafficBlocked && registrar.isFromLeaderBlocked
			)) {
				registrar.receiveHeartbeat(sequence, report, (leaseMs, digest) => {
					context.send(this, () => {
						this.#handleAnswer(sequence, leaseMs, digest);
					});
				});
			}
		});
	}

	#handleAnswer(
		sequence: number,
		leaseMs: number,
		digest: ConfigurationDigest,
	): void {
		// Sometimes the daemon applies the revision later; until then, its lease is not renewed.
		if (this.context.randomPercent < 70) {
			this.#step({type: 'revision-applied', revision: digest.revision});
		}

		this.#step({type: 'heartbeat-answered', sequence, leaseMs, digest});
	}
}
