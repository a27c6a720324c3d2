import type {OpenWork, QueuedCall} from '@marjoramcove/scheduler';
import type {EngineCall} from './engine-stand-in.ts';

/** A model call on its way through a router, a queue and an engine. */
export type SimCall = EngineCall & {
	router: number;
	/** Grows when the call is lost and sent again. */
	attempt: number;
	/** Engine that the call was last sent to. */
	engine: number;
	/** Estimate of its work at that engine. */
	work: OpenWork;
	queued: QueuedCall;
	expectedPauseMs: number;
	isLastOfChain: boolean;
	sentAtMs: number;
	/** Time at which its dispatcher sent it to the engine. */
	submittedAtMs: number;
	/** Called once, when the engine has finished the call. */
	finish: () => void;
};
