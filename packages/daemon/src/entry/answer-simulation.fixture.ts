import {VirtualTime} from '@marjoramcove/consensus';
import type {CallHandlers} from '@marjoramcove/transport';
import {
	type AcceptInput,
	type CallState,
	type DispatchEvent,
	type Grant,
} from '../call-contracts.ts';
import type {DaemonContext} from '../daemon-context.ts';
import {CallRun} from '../dispatcher/call-run.ts';
import type {GroupClientService} from '../services/group-client-service.ts';
import type {PeersService} from '../services/peers-service.ts';
import type {ResumePosition} from './answer-delivery.ts';
import {CallFollower} from './call-follower.ts';
import {SimulatedCall} from './simulated-call.fixture.ts';
import {SimulatedCaller} from './simulated-caller.fixture.ts';
import type {AttemptRequest} from './read-attempt.ts';

/** Faults that are injected on purpose; the simulation must detect each of them. */
export type AnswerFault =
	| 'ignore-restart'
	| 'mix-answers'
	| 'resume-too-far'
	| 'renumber-after-loss'
	| 'final-of-other-attempt';

/** Draws a random number from 0 to 99. */
type DrawPercent = () => number;

const MAX_ATTEMPTS = 5;
const MAX_CONNECTIONS = 40;
const MAX_RUN_MS = 60_000;

/**
 * Simulates calls of two programs that use the same request ids, with failing owners, dispatchers and
 * engines. `CallFollower`, `AnswerDelivery` and `CallRun` are the production code; the links between them
 * disconnect, and duplicate, lose and reorder events.
 */
export class AnswerSimulation {
	readonly problems = new Set<string>();
	readonly #calls = new Map<string, SimulatedCall>();
	readonly #time = new VirtualTime();
	#doneCallers = 0;
	readonly #drawPercent: DrawPercent;
	readonly #fault: AnswerFault | undefined;
	readonly #follower: CallFollower;

	constructor(drawPercent: DrawPercent, fault?: AnswerFault) {
		this.#drawPercent = drawPercent;
		this.#fault = fault;
		this.#follower = new CallFollower(
			{retries: {increment: () => undefined}} as unknown as DaemonContext,
			{
				call: async (_group: unknown, path: string, body: unknown) =>
					this.#answerAsOwner(path, body),
			} as unknown as GroupClientService,
			{
				subscribe: async (
					_daemon: unknown,
					_path: unknown,
					request: AttemptRequest,
					handlers: CallHandlers,
				) => this.#openLink(request, handlers),
			} as unknown as PeersService,
			async (delayMs) => this.#time.sleep(delayMs),
		);
	}

	/** Runs four calls, each with two callers that use the same request id. */
	async run(): Promise<string[]> {
		for (const programId of ['p0-a', 'p0-b']) {
			for (const requestId of ['r1', 'r2']) {
				const call = new SimulatedCall(
					programId,
					requestId,
					1 + (this.#drawPercent() % 12),
				);
				this.#calls.set(`${programId}~${requestId}`, call);
			}
		}

		const callers = [...this.#calls.values()].flatMap((call) => [
			this.#runCaller(call),
			this.#runCaller(call),
		]);
		await this.#time.runUntil(MAX_RUN_MS);
		if (this.#doneCallers < callers.length) {
			this.problems.add('a caller never received its answer');
		}

		return [...this.problems];
	}

	#findCall(ids: {programId: string; requestId: string}): SimulatedCall {
		return this.#calls.get(`${ids.programId}~${ids.requestId}`)!;
	}

	/** Runs a caller that loses connections and resumes or repeats the request until it has the answer. */
	async #runCaller(call: SimulatedCall): Promise<void> {
		const caller = new SimulatedCaller(this.#fault === 'ignore-restart');
		for (let connection = 0; connection < MAX_CONNECTIONS; connection++) {
			const losesConnection =
				connection < MAX_CONNECTIONS / 2 && this.#drawPercent() < 60;
			const textsUntilLoss = losesConnection
				? 1 + (this.#drawPercent() % 4)
				: Number.POSITIVE_INFINITY;
			const {signal} = caller.connect(textsUntilLoss, this.#drawPercent() < 30);
			try {
				const result = await this.#follower.follow(call.input, caller, {
					signal,
					...(caller.resume && {resume: this.#shiftResume(caller.resume)}),
				});
				if (!signal.aborted) {
					this.#checkAnswer(call, caller.text, result.content);
					this.#doneCallers++;
					return;
				}
			} catch (error) {
				if (!signal.aborted) {
					this.problems.add(`a caller received an error: ${String(error)}`);
					return;
				}
			}
		}
	}

	/** Injects the fault `resume-too-far`. */
	#shiftResume(resume: ResumePosition): ResumePosition {
		return this.#fault === 'resume-too-far'
			? {...resume, offset: resume.offset + 1}
			: resume;
	}

	#checkAnswer(call: SimulatedCall, text: string, content: string): void {
		const {recorded} = call;
		if (!recorded) {
			this.problems.add('an answer ended before it was recorded');
		} else if (content !== recorded.content) {
			this.problems.add(
				'the content of a result differs from the recorded content',
			);
		} else if (text !== recorded.content) {
			this.problems.add(
				`a caller received ${JSON.stringify(text)}, but ${JSON.stringify(recorded.content)} is recorded`,
			);
		}
	}

	async #answerAsOwner(path: string, body: unknown): Promise<CallState> {
		await this.#time.sleep(this.#drawPercent() % 3);
		if (path === 'programs.accept') {
			const call = this.#findCall(body as AcceptInput);
			if (call.runs.length === 0) {
				this.#startAttempt(call, '');
			}

			return this.#callState(call);
		}

		const {accept, attempt, partial} = body as {
			accept: AcceptInput;
			attempt: number;
			partial: string;
		};
		const call = this.#findCall(accept);
		if (!call.recorded && call.runs.length === attempt) {
			if (this.#drawPercent() < 30) {
				return {status: 'unsure', retryAfterMs: 1};
			}

			// A running attempt is lost only when its dispatcher is lost.
			if (
				call.runs.length < MAX_ATTEMPTS &&
				(call.runs.at(-1)!.isFinished || this.#drawPercent() < 50)
			) {
				this.#startAttempt(call, partial);
			}
		}

		return this.#callState(call);
	}

	#callState(call: SimulatedCall): CallState {
		if (call.recorded) {
			return {
				status: 'settled',
				record: {
					kind: 'model',
					attempt: call.recorded.attempt,
					turn: 1,
					outcome: {
						status: 'answered',
						verdict: 'ran',
						contentType: 'text/plain',
					},
				},
				content: call.recorded.content,
			} as unknown as CallState;
		}

		const run = call.runs.at(-1)!;
		return {
			status: 'granted',
			grant: run.grant,
			payload: run.payload,
		};
	}

	#startAttempt(call: SimulatedCall, prefix: string): void {
		const attempt = call.runs.length + 1;
		const run = new CallRun({
			grant: {
				...call.input,
				attempt,
				turn: 1,
				dispatcherId: 'd1',
			} as unknown as Grant,
			payload: {messages: [], parameters: {}, prefix},
		});
		call.runs.at(-1)?.finish('lost', {type: 'lost', reason: 'replaced'});
		call.runs.push(run);
		void this.#generate(call, run);
	}

	/** Generates the text of an attempt. Most engines repeat the text of the call; some sample another one. */
	async #generate(call: SimulatedCall, run: CallRun): Promise<void> {
		const {attempt} = run.grant;
		const fullText =
			this.#drawPercent() < 60 && call.text.startsWith(run.text)
				? call.text
				: `${this.#drawPercent() < 50 ? run.text : ''}[attempt ${attempt}]${call.text}`;
		// The engine continues after the prefix, whichever text it samples.
		let remaining = fullText.startsWith(run.text)
			? fullText.slice(run.text.length)
			: fullText;
		const willFail = attempt < MAX_ATTEMPTS && this.#drawPercent() < 40;
		while (remaining !== '') {
			await this.#time.sleep(this.#drawPercent() % 3);
			if (run.isFinished) {
				return;
			}

			if (willFail && this.#drawPercent() < 30) {
				run.finish('lost', {type: 'lost', reason: 'engine-unreachable'});
				return;
			}

			const size = 1 + (this.#drawPercent() % 9);
			run.append(remaining.slice(0, size));
			remaining = remaining.slice(size);
		}

		this.#settle(call, run);
	}

	#settle(call: SimulatedCall, run: CallRun): void {
		if (
			call.recorded !== undefined ||
			call.runs.at(-1) !== run ||
			run.isFinished
		) {
			run.finish('lost', {type: 'lost', reason: 'attempt-replaced'});
			return;
		}

		call.recorded = {attempt: run.grant.attempt, content: run.text};
		run.finish('settled', {
			type: 'final',
			outcome: {status: 'answered', verdict: 'ran', contentType: 'text/plain'},
			content:
				this.#fault === 'final-of-other-attempt' && call.runs.length > 1
					? call.runs[0]!.text
					: run.text,
			finishReason: 'stop',
		});
	}

	/** Delivers the events of a run over a faulty link; the returned function closes the link. */
	#openLink(request: AttemptRequest, handlers: CallHandlers): () => void {
		const call = this.#findCall(request.grant);
		const run = call.runs[request.grant.attempt - 1]!;
		const abort = new AbortController();
		void this.#deliverEvents(
			this.#selectRun(run),
			request.fromOffset,
			handlers,
			abort,
		);
		return () => {
			abort.abort();
		};
	}

	/** Injects the fault `mix-answers`. */
	#selectRun(run: CallRun): CallRun {
		if (this.#fault !== 'mix-answers' || this.#drawPercent() < 50) {
			return run;
		}

		const runs = [...this.#calls.values()].flatMap((call) => call.runs);
		return runs[this.#drawPercent() % runs.length]!;
	}

	async #deliverEvents(
		run: CallRun,
		fromOffset: number,
		handlers: CallHandlers,
		abort: AbortController,
	): Promise<void> {
		let delayed: DispatchEvent | undefined;
		let lostLength = 0;
		for await (const event of run.read(fromOffset, abort.signal)) {
			const percent = this.#drawPercent();
			if (percent < 8) {
				handlers.onError(new Error('the link was disconnected'));
				// A frame in transit can still arrive, even during the next attempt.
				await this.#time.sleep(this.#drawPercent());
				handlers.onData(event);
				return;
			}

			if (percent < 14 && event.type === 'chunk') {
				lostLength += event.text.length;
				continue;
			}

			const adjusted = this.#adjustOffset(event, lostLength);
			if (percent < 20 && !delayed) {
				delayed = adjusted;
				continue;
			}

			handlers.onData(adjusted);
			if (percent < 30) {
				handlers.onData(adjusted);
			}

			if (delayed) {
				handlers.onData(delayed);
				delayed = undefined;
			}
		}

		if (delayed) {
			handlers.onData(delayed);
		}
	}

	/** Injects the fault `renumber-after-loss`. */
	#adjustOffset(event: DispatchEvent, lostLength: number): DispatchEvent {
		return this.#fault === 'renumber-after-loss' && event.type === 'chunk'
			? {...event, offset: event.offset - lostLength}
			: event;
	}
}
