import {MarjoramcoveError} from '@marjoramcove/errors';
import type {GroupId} from '@marjoramcove/types';
import type {EventLog} from './event-log.ts';
import {findHistoryStartOffset} from './list-machine.ts';
import type {SimulatedDaemon} from './simulated-daemon.ts';

type Operation = {
	id: string;
	outcome: 'acknowledged' | 'may-have-run' | 'not-run' | 'pending';
	/** Length of the list once this operation is applied. */
	position: number;
};

type GroupRecord = {
	operations: Operation[];
	/** Length of the longest list that an acknowledged proposal or a read has returned. */
	observedLength: number;
	/**
	 * Length and last operation of the lists that reads returned; each must be a prefix of the final
	 * list.
	 */
	reads: Array<{length: number; last: string | undefined}>;
};

/** Proposes and reads like a caller, and checks the results against the final logs. */
export class OperationChecker {
	readonly #events: EventLog;
	readonly #groups = new Map<GroupId, GroupRecord>();
	#nextId = 0;

	constructor(events: EventLog, groupIds: readonly GroupId[]) {
		this.#events = events;
		for (const groupId of groupIds) {
			this.#groups.set(groupId, {operations: [], observedLength: 0, reads: []});
		}
	}

	/** Proposes a new operation and records its outcome. */
	async propose(
		daemon: SimulatedDaemon,
		groupId: GroupId,
		paddingBytes = 0,
	): Promise<boolean> {
		const record = this.#groups.get(groupId)!;
		this.#nextId += 1;
		const operation: Operation = {
			id: `operation-${this.#nextId}`,
			outcome: 'pending',
			position: 0,
		};
		record.operations.push(operation);
		this.#events.count('proposals');
		const {observedLength} = record;
		try {
			const {result} = await daemon.host!.propose(
				groupId,
				Buffer.from(operation.id.padEnd(operation.id.length + paddingBytes)),
			);
			operation.outcome = 'acknowledged';
			operation.position = result as number;
			this.#events.count('acknowledged');
			if (operation.position <= observedLength) {
				this.#events.fail(
					`${operation.id} of ${groupId} got position ${operation.position}, but the list already had length ${observedLength} before it was proposed`,
				);
			}

			record.observedLength = Math.max(
				record.observedLength,
				operation.position,
			);
			return true;
		} catch (error) {
			operation.outcome = this.#classifyError(error);
			this.#events.count(operation.outcome);
			return false;
		}
	}

	/** Reads after a read barrier and checks that no operation observed earlier is missing. */
	async read(daemon: SimulatedDaemon, groupId: GroupId): Promise<void> {
		const record = this.#groups.get(groupId)!;
		const machine = daemon.machines.get(groupId);
		const {observedLength} = record;
		try {
			await daemon.host!.readBarrier(groupId);
		} catch {
			this.#events.count('reads-refused');
			return;
		}

		const {length} = machine!.operations;
		this.#events.count('reads');
		record.reads.push({length, last: machine!.operations.at(-1)});
		if (length < observedLength) {
			this.#events.fail(
				`a read of ${groupId} at ${daemon.id} returned ${length} operations, but ${observedLength} were observed before it`,
			);
		}

		record.observedLength = Math.max(record.observedLength, length);
	}

	/** Compares all results that callers received with the final lists of all replicas. */
	async checkFinalState(
		groupId: GroupId,
		daemons: readonly SimulatedDaemon[],
	): Promise<void> {
		const [first, ...others] = daemons;
		const list = first!.machines.get(groupId)!.operations;
		for (const other of others) {
			const otherList = other.machines.get(groupId)!.operations;
			if (otherList.join(',') !== list.join(',')) {
				this.#events.fail(
					`${groupId} differs between ${first!.id} and ${other.id}`,
				);
			}
		}

		this.#checkOperations(groupId, list);
		const expected = list.map((operation) => `${operation}\n`).join('');
		for (const daemon of daemons) {
			await this.#checkHistory(groupId, daemon, expected);
		}
	}

	#classifyError(error: unknown): Operation['outcome'] {
		return error instanceof MarjoramcoveError && error.verdict === 'not-run'
			? 'not-run'
			: 'may-have-run';
	}

	#checkOperations(groupId: GroupId, list: readonly string[]) {
		const {operations, reads} = this.#groups.get(groupId)!;
		const positions = new Map(
			list.map((operation, position) => [operation, position + 1]),
		);
		if (positions.size !== list.length) {
			this.#events.fail(`${groupId} contains an operation twice`);
		}

		for (const {id, outcome, position} of operations) {
			const finalPosition = positions.get(id);
			if (outcome === 'acknowledged' && finalPosition !== position) {
				this.#events.fail(
					`${id} of ${groupId} was acknowledged at position ${position}, but the final log has it at ${finalPosition ?? 'no position'}`,
				);
			}

			if (outcome === 'not-run' && finalPosition !== undefined) {
				this.#events.fail(
					`${id} of ${groupId} was reported as not-run, but is in the final log`,
				);
			}
		}

		for (const {length, last} of reads) {
			if (list[length - 1] !== last) {
				this.#events.fail(
					`a read of ${groupId} returned ${last} as operation ${length}, but the final log has ${list[length - 1]}`,
				);
			}
		}
	}

	async #checkHistory(
		groupId: GroupId,
		daemon: SimulatedDaemon,
		expected: string,
	) {
		const length = Buffer.byteLength(expected);
		const startOffset = findHistoryStartOffset(
			daemon.machines.get(groupId)!.operations,
		);
		const status = daemon
			.host!.status()
			.find((group) => group.groupId === groupId);
		const expectedText = Buffer.from(expected).subarray(startOffset).toString();
		if (
			status?.historyBytes !== length ||
			(await this.#readHistory(groupId, daemon, startOffset, length)) !==
				expectedText
		) {
			this.#events.fail(
				`the history of ${groupId} at ${daemon.id} differs from its log`,
			);
		}
	}

	/** Returns the text between two offsets, or the error message if it cannot be read. */
	async #readHistory(
		groupId: GroupId,
		daemon: SimulatedDaemon,
		start: number,
		end: number,
	) {
		try {
			const bytes = await daemon.host!.readHistory(groupId, start, end - start);
			return Buffer.from(bytes).toString();
		} catch (error) {
			return String(error);
		}
	}
}
