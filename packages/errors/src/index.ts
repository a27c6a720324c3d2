export {assertInvariant} from './assert-invariant.ts';
export {messageOf, reasonOf} from './describe-error.ts';
export {type ErrorBody, fromErrorBody, toErrorBody} from './error-body.ts';
export {
	CommitUnknownError,
	DataCorruptionError,
	InvariantViolationError,
	NotLeaderError,
	RefusedError,
	RevisionConflictError,
	ValidationError,
} from './error-classes.ts';
export {type ErrorDetails, MarjoramcoveError} from './marjoramcove-error.ts';
