import type {OpenWork, QueuedCall} from '@marjoramcove/scheduler';
import type {EngineCall} from './simulated-engine.ts';

/** A model call that passes through a router, a queue and an engine. */
export type SimCall = EngineCall & {
	router: number;
	/** Incremented each time the call is lost and sent again. */
	attempt: number;
	/** Engine that the call was last sent to. */
	engine: number;
	/** Estimated work of the call at that engine. */
	work: OpenWork;
	queued: QueuedCall;
	expectedPauseMs: number;
	isLastOfChain: boolean;
	sentAtMs: number;
	/** Time at which the dispatcher sent the call to the engine. */
	submittedAtMs: number;
	/** Called once, when the engine has finished the call. */
	finish: () => void;
};
