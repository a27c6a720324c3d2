export {
	createTurnsState,
	type LastTurn,
	type TurnCommand,
	type TurnRecord,
	type TurnResult,
	type TurnsState,
} from './turns-state.ts';
export {cutPage, findChain, sumLengths, type TextRange} from './find-chain.ts';
export {createPartId, createPartsProgramId, scopeId} from './scope-id.ts';
export {stepTurns} from './step-turns.ts';
export {encodeTurnCommand, TurnsMachine} from './turns-machine.ts';
