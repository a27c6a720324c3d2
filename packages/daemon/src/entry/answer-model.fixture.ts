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
import {ModelCall} from './model-call.fixture.ts';
import {ModelCaller} from './model-caller.fixture.ts';
import type {AttemptRequest} from './read-attempt.ts';

/** Deliberate faults, each of which the model must detect. */
export type AnswerFault =
	| 'ignore-restart'
	| 'mix-answers'
	| 'resume-too-far'
	| 'renumber-after-loss'
	| 'final-of-other-attempt';

/** One random choice, 0 to 99. */
type Luck = () => number;

const MAX_ATTEMPTS = 5;
const MAX_CONNECTIONS = 40;
const MAX_RUN_MS = 60_000;

/**
 * Calls whose request ids collide over two programs, with owners, dispatchers and engines that fail.
 * The readers, the runs and the delivery are those of the daemon; the links between them cut, double,
 * lose and reorder what they carry.
 */
export class AnswerModel {
	readonly problems = new Set<string>();
	readonly #calls = new Map<string, ModelCall>();
	readonly #time = new VirtualTime();
	#doneCallers = 0;
	readonly #luck: Luck;
	readonly #fault: AnswerFault | undefined;
	readonly #follower: CallFollower;

	constructor(luck: Luck, fault?: AnswerFault) {
		this.#luck = luck;
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
				const call = new ModelCall(
					programId,
					requestId,
					1 + (this.#luck() % 12),
				);
				this.#calls.set(`${programId}~${requestId}`, call);
			}
		}

		const callers = [...this.#calls.values()].flatMap((call) => [
			this.#receive(call),
			this.#receive(call),
		]);
		await this.#time.runUntil(MAX_RUN_MS);
		if (this.#doneCallers < callers.length) {
			this.problems.add('a caller never got its answer');
		}

		return [...this.problems];
	}

	#call(name: {programId: string; requestId: string}): ModelCall {
		return this.#calls.get(`${name.programId}~${name.requestId}`)!;
	}

	/** A caller that loses its connections, resumes or sends again, until it has the answer. */
	async #receive(call: ModelCall): Promise<void> {
		const caller = new ModelCaller(this.#fault === 'ignore-restart');
		for (let connection = 0; connection < MAX_CONNECTIONS; connection++) {
			const isCut = connection < MAX_CONNECTIONS / 2 && this.#luck() < 60;
			const texts = isCut ? 1 + (this.#luck() % 4) : Number.POSITIVE_INFINITY;
			const {signal} = caller.connect(texts, this.#luck() < 30);
			try {
				const end = await this.#follower.follow(call.input, caller, {
					signal,
					...(caller.resume && {resume: this.#shift(caller.resume)}),
				});
				if (!signal.aborted) {
					this.#checkAnswer(call, caller.text, end.content);
					this.#doneCallers++;
					return;
				}
			} catch (error) {
				if (!signal.aborted) {
					this.problems.add(`a caller got an error: ${String(error)}`);
					return;
				}
			}
		}
	}

	#shift(resume: ResumePosition): ResumePosition {
		return this.#fault === 'resume-too-far'
			? {...resume, offset: resume.offset + 1}
			: resume;
	}

	#checkAnswer(call: ModelCall, text: string, content: string): void {
		const {recorded} = call;
		if (!recorded) {
			this.problems.add('an answer ended before it was recorded');
		} else if (content !== recorded.content) {
			this.problems.add('an end had another content than the record');
		} else if (text !== recorded.content) {
			this.problems.add(
				`a caller got ${JSON.stringify(text)}, recorded is ${JSON.stringify(recorded.content)}`,
			);
		}
	}

	async #answerAsOwner(path: string, body: unknown): Promise<CallState> {
		await this.#time.sleep(this.#luck() % 3);
		if (path === 'programs.accept') {
			const call = this.#call(body as AcceptInput);
			if (call.runs.length === 0) {
				this.#startAttempt(call, '');
			}

			return this.#state(call);
		}

		const {accept, attempt, partial} = body as {
			accept: AcceptInput;
			attempt: number;
			partial: string;
		};
		const call = this.#call(accept);
		if (!call.recorded && call.runs.length === attempt) {
			if (this.#luck() < 30) {
				return {status: 'unsure', retryAfterMs: 1};
			}

			// An attempt that still runs is lost only with its dispatcher.
			if (
				call.runs.length < MAX_ATTEMPTS &&
				(call.runs.at(-1)!.isFinished || this.#luck() < 50)
			) {
				this.#startAttempt(call, partial);
			}
		}

		return this.#state(call);
	}

	#state(call: ModelCall): CallState {
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

	#startAttempt(call: ModelCall, prefix: string): void {
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

	/** Most engines repeat a text that they continue; some sample another one. */
	async #generate(call: ModelCall, run: CallRun): Promise<void> {
		const {attempt} = run.grant;
		const full =
			this.#luck() < 60 && call.text.startsWith(run.text)
				? call.text
				: `${this.#luck() < 50 ? run.text : ''}[attempt ${attempt}]${call.text}`;
		// An engine continues after the prefix, whatever it samples.
		let rest = full.startsWith(run.text) ? full.slice(run.text.length) : full;
		const isFailing = attempt < MAX_ATTEMPTS && this.#luck() < 40;
		while (rest !== '') {
			await this.#time.sleep(this.#luck() % 3);
			if (run.isFinished) {
				return;
			}

			if (isFailing && this.#luck() < 30) {
				run.finish('lost', {type: 'lost', reason: 'engine-unreachable'});
				return;
			}

			const size = 1 + (this.#luck() % 9);
			run.append(rest.slice(0, size));
			rest = rest.slice(size);
		}

		this.#settle(call, run);
	}

	#settle(call: ModelCall, run: CallRun): void {
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

	/** Carries the events of a run with faults; the returned function closes the link. */
	#openLink(request: AttemptRequest, handlers: CallHandlers): () => void {
		const call = this.#call(request.grant);
		const run = call.runs[request.grant.attempt - 1]!;
		const abort = new AbortController();
		void this.#carry(this.#mixed(run), request.fromOffset, handlers, abort);
		return () => {
			abort.abort();
		};
	}

	#mixed(run: CallRun): CallRun {
		if (this.#fault !== 'mix-answers' || this.#luck() < 50) {
			return run;
		}

		const others = [...this.#calls.values()].flatMap((call) => call.runs);
		return others[this.#luck() % others.length]!;
	}

	async #carry(
		run: CallRun,
		fromOffset: number,
		handlers: CallHandlers,
		abort: AbortController,
	): Promise<void> {
		let held: DispatchEvent | undefined;
		let lostLength = 0;
		for await (const event of run.read(fromOffset, abort.signal)) {
			const luck = this.#luck();
			if (luck < 8) {
				handlers.onError(new Error('the link was cut'));
				// A frame that was under way can still arrive, also during the next attempt.
				await this.#time.sleep(this.#luck());
				handlers.onData(event);
				return;
			}

			if (luck < 14 && event.type === 'chunk') {
				lostLength += event.text.length;
				continue;
			}

			const sent = this.#renumber(event, lostLength);
			if (luck < 20 && !held) {
				held = sent;
				continue;
			}

			handlers.onData(sent);
			if (luck < 30) {
				handlers.onData(sent);
			}

			if (held) {
				handlers.onData(held);
				held = undefined;
			}
		}

		if (held) {
			handlers.onData(held);
		}
	}

	#renumber(event: DispatchEvent, lostLength: number): DispatchEvent {
		return this.#fault === 'renumber-after-loss' && event.type === 'chunk'
			? {...event, offset: event.offset - lostLength}
			: event;
	}
}
