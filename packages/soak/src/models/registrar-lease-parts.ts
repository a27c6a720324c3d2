import {
	type ConfigurationDigest,
	createLeaseState,
	createRegistrarLease,
	grantLease,
	type LeaseEvent,
	readElapsedMs,
	stepLease,
	takeConfirmation,
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

/** Deliberate faults of the harness; each must be detected. */
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

/** The excess of a lease without the allowance for drift (80 ms) must be longer than some steps. */
export const REGISTRAR_LEASE_MS = 8000;
/** An older confirmation is renewed. */
const CONFIRMATION_MS = 250;
/** An older confirmation is renewed before it is used. */
const OLDEST_USED_MS = REGISTRAR_LEASE_MS / 8;
const HEARTBEAT_MS = 50;
const MEMBER_TIMEOUT_MS = 800;
/** The fault `grant-before-registering` registers a daemon only after this many heartbeats. */
const LATE_SEQUENCE = 10;

/** Request of a registrar to the leader. */
export type ConfirmMessage = RegistrarSummary & {
	confirmedRevision: number;
	/** Whether a partition would deliver it to a leader that was replaced. */
	isLate: boolean;
	answer: (digest: ConfigurationDigest | undefined) => void;
};

/** What the processes need from the model. */
export type ModelWorld = {
	readonly fault: RegistrarLeaseFault | undefined;
	readonly realMs: number;
	readonly revision: number;
	readonly luck: number;
	readonly registrars: ModelRegistrar[];
	send(to: {frozenUntilMs: number} | undefined, run: () => void): void;
	confirm(message: ConfirmMessage): void;
};

/** A process with its own clocks; while its VM is suspended, the monotonic clock stands still. */
class ModelProcess {
	frozenUntilMs = 0;
	isSuspended = false;
	readonly world: ModelWorld;
	protected readonly daemonId: DaemonId;
	readonly #rate: number;
	#monotonicMs = 0;
	#suspendedMs = 0;

	constructor(model: ModelWorld, name: string, rate: number) {
		this.world = model;
		this.daemonId = asId<DaemonId>(name);
		this.#rate = rate;
	}

	/** The wall clock also runs while the VM is suspended. */
	get time(): {nowMs: number; wallMs: number} {
		const wallMs =
			this.world.fault === 'no-wall-clock'
				? this.#monotonicMs
				: this.#monotonicMs + this.#suspendedMs;
		return {nowMs: this.#monotonicMs, wallMs};
	}

	/** Lets time pass and runs the process unless it is frozen. */
	advance(stepMs: number): void {
		const isFrozen = this.frozenUntilMs > this.world.realMs;
		if (isFrozen && this.isSuspended) {
			this.#suspendedMs += stepMs;
		} else {
			this.#monotonicMs += stepMs * this.#rate;
		}

		if (!isFrozen) {
			this.isSuspended = false;
			this.act();
		}
	}

	protected act(): void {
		// Processes of the model override this.
	}
}

/** A registrar as the daemon runs it, with one confirmation under way at a time. */
export class ModelRegistrar extends ModelProcess {
	/** Whether messages from and to the leader are lost. */
	isCutFrom = false;
	isCutTo = false;
	/** Whether messages from and to the daemons are lost as well. */
	isAlone = false;
	#lease = createRegistrarLease();
	#roster = createRoster();
	#incarnation = 1;
	#summarisedVersion: number | undefined;
	#askedAtMs = Number.NEGATIVE_INFINITY;
	#isAsked = false;
	#waiting: Array<() => void> = [];

	restart(): void {
		this.#lease = createRegistrarLease();
		this.#roster = createRoster();
		this.#incarnation++;
		this.#summarisedVersion = undefined;
		this.#waiting = [];
		this.#askedAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Takes a heartbeat and answers it once the confirmation is recent. */
	takeHeartbeat(
		sequence: number,
		report: MemberReport,
		reply: (leaseMs: number, digest: ConfigurationDigest) => void,
	): void {
		const receivedAtMs = this.#elapsedMs;
		if (
			this.world.fault !== 'grant-before-registering' ||
			sequence > LATE_SEQUENCE
		) {
			registerMember(this.#roster, {sequence, report}, receivedAtMs);
		}

		const ageMs =
			receivedAtMs - (this.#lease.confirmation?.sentAtMs ?? -OLDEST_USED_MS);
		this.#isAsked ||= ageMs > CONFIRMATION_MS;
		if (this.#lease.confirmation && ageMs <= OLDEST_USED_MS) {
			this.#grant(receivedAtMs, reply);
		} else {
			this.#waiting.push(() => {
				this.#grant(receivedAtMs, reply);
			});
		}
	}

	protected override act(): void {
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
			this.#isAsked ||
			this.#waiting.length > 0 ||
			(this.#summarisedVersion ?? 0) < this.#roster.version;
		if (isDue && elapsedMs >= this.#askedAtMs + CONFIRMATION_MS / 2) {
			this.#askedAtMs = elapsedMs;
			this.#isAsked = false;
			this.#confirm();
		}
	}

	get #elapsedMs(): number {
		return readElapsedMs(this.#lease, this.time);
	}

	#confirm(): void {
		const {world} = this;
		const sentAtMs = this.#elapsedMs;
		const {version} = this.#roster;
		const incarnation = this.#incarnation;
		const message: ConfirmMessage = {
			registrarId: this.daemonId,
			incarnation: asId<IncarnationId>(`i${incarnation}`),
			confirmedRevision: this.#lease.confirmation?.digest.revision ?? -1,
			summary: summariseRoster(this.#roster, this.#summarisedVersion),
			isLate: world.luck > 60,
			answer: (digest) => {
				this.#receive(incarnation, {sentAtMs, version, digest});
			},
		};
		if (!this.isCutTo) {
			world.send(undefined, () => {
				world.confirm(message);
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
		this.world.send(this, () => {
			if (!this.isCutFrom && incarnation === this.#incarnation) {
				this.#takeAnswer(answer);
			}
		});
	}

	#takeAnswer({
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
		takeConfirmation(this.#lease, {
			sentAtMs:
				this.world.fault === 'confirmed-from-answer'
					? this.#elapsedMs
					: sentAtMs,
			leaseMs: REGISTRAR_LEASE_MS,
			digest,
		});
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const run of waiting) {
			run();
		}
	}

	#grant(
		receivedAtMs: number,
		reply: (leaseMs: number, digest: ConfigurationDigest) => void,
	): void {
		const grant = grantLease(this.#lease, receivedAtMs);
		if (!grant || (this.isAlone && this.isCutTo)) {
			return;
		}

		const {fault} = this.world;
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

/** A daemon that sends heartbeats to one registrar and applies what the answers say. */
export class ModelDaemon extends ModelProcess {
	registrar = 0;
	readonly lease = createLeaseState({freezeThresholdMs: 1000});
	#nextHeartbeatMs: number;

	constructor(world: ModelWorld, name: string, rate: number, phaseMs: number) {
		super(world, name, rate);
		this.#nextHeartbeatMs = phaseMs;
	}

	protected override act(): void {
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
		const {world, daemonId} = this;
		const registrar = world.registrars[this.registrar]!;
		const report: MemberReport = {
			daemonId,
			incarnation: asId<IncarnationId>('i1'),
			zone: asId<ZoneName>('zone-a'),
			address: 'address',
			phase: 'ready',
			appliedRevision,
		};
		world.send(registrar, () => {
			if (!(registrar.isAlone && registrar.isCutFrom)) {
				registrar.takeHeartbeat(sequence, report, (leaseMs, digest) => {
					world.send(this, () => {
						this.#takeAnswer(sequence, leaseMs, digest);
					});
				});
			}
		});
	}

	#takeAnswer(
		sequence: number,
		leaseMs: number,
		digest: ConfigurationDigest,
	): void {
		// A daemon is sometimes late to apply a revision; its lease then waits for it.
		if (this.world.luck < 70) {
			this.#step({type: 'revision-applied', revision: digest.revision});
		}

		this.#step({type: 'heartbeat-answered', sequence, leaseMs, digest});
	}
}
