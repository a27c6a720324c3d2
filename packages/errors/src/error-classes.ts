import {type ErrorDetails, MarjoramcoveError} from './marjoramcove-error.ts';

/** A request was refused, either before anything was recorded or with its refusal recorded. */
export class RefusedError extends MarjoramcoveError {
	constructor(message: string, details: Omit<ErrorDetails, 'verdict'>) {
		super(message, {...details, verdict: 'not-run'});
	}
}

/** Input of any kind (settings, command, request, message, file) does not have the expected shape. */
export class ValidationError extends MarjoramcoveError {
	constructor(message: string, hint: string, data?: Record<string, unknown>) {
		super(message, {reason: 'invalid-input', verdict: 'not-run', hint, data});
	}
}

/** The addressed replica is not the leader of the group; nothing was proposed. */
export class NotLeaderError extends MarjoramcoveError {
	readonly leaderId: string | undefined;

	constructor(groupId: string, leaderId?: string) {
		super(`This replica does not lead group ${groupId}.`, {
			reason: 'not-leader',
			verdict: 'not-run',
			hint: leaderId
				? `Send the request to ${leaderId}.`
				: 'Retry after a leader has been elected.',
			data: {groupId, leaderId},
		});
		this.leaderId = leaderId;
	}
}

/** A proposal was appended but its commit was not observed; it may still be committed. */
export class CommitUnknownError extends MarjoramcoveError {
	constructor(groupId: string) {
		super(`The outcome of a proposal to group ${groupId} is unknown.`, {
			reason: 'commit-unknown',
			verdict: 'may-have-run',
			hint: 'Look the record up by its id after a read barrier on the current leader.',
			data: {groupId},
		});
	}
}

/** A configuration change is based on a revision that is no longer current. */
export class RevisionConflictError extends MarjoramcoveError {
	constructor(baseRevision: number, currentRevision: number, current: unknown) {
		super(
			`The change is based on revision ${baseRevision}, but the current revision is ${currentRevision}.`,
			{
				reason: 'revision-conflict',
				verdict: 'not-run',
				hint: 'Read the current state, apply the change to it and send it with the current revision.',
				data: {baseRevision, currentRevision, current},
			},
		);
	}
}

/** A file contains a damaged record before its tail. */
export class DataCorruptionError extends MarjoramcoveError {
	constructor(file: string, offset: number, detail: string) {
		super(`The file ${file} is damaged at offset ${offset}: ${detail}.`, {
			reason: 'data-corruption',
			verdict: 'not-run',
			hint: 'Do not delete single files. Replace this replica with an empty disk: marjoramcove replace.',
			data: {file, offset},
		});
	}
}

/** An invariant of a state machine is violated; the process must stop. */
export class InvariantViolationError extends MarjoramcoveError {
	readonly invariant: string;

	constructor(invariant: string, event: unknown, detail?: string) {
		super(
			`Invariant ${invariant} does not hold${detail ? `: ${detail}` : ''}; event ${JSON.stringify(event)?.slice(0, 2000)}.`,
			{
				reason: 'invariant-violation',
				verdict: 'may-have-run',
				hint: 'The process stops to protect its data. Report the event and the log.',
				data: {invariant},
			},
		);
		this.invariant = invariant;
	}
}
