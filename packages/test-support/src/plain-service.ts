import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {
	handle,
	HttpStandIn,
	readJson,
	readParameter,
	type RoutedRequest,
	sendJson,
} from './http-stand-in.ts';

/** A fault that applies to the next calls of an operation. */
export type ServiceFault =
	/** The operation runs after a delay. */
	| {kind: 'delay'; delayMs: number}
	/** The operation never runs and the connection stays open. */
	| {kind: 'hang'}
	/** The operation runs, then the connection is reset without an answer. */
	| {kind: 'lose-answer'}
	/** The operation runs, then the connection stays open without an answer. */
	| {kind: 'silent-after-execution'}
	/** The operation does not run; the answer is status 500. */
	| {kind: 'fail'};

/** One execution of an operation. */
export type Execution = {
	operation: string;
	key: string;
	input: unknown;
	atMs: number;
};

/**
 * Stand-in of a plain service. It does not deduplicate: each request that reaches an operation
 * counts as an execution of its `idempotency-key`.
 *
 * @example
 * ```ts
 * const desk = await new PlainService().start();
 * desk.injectFault('charge-fee', {kind: 'lose-answer'});
 * desk.executionsByKey(); // {'p0-abc:r1': 1}
 * ```
 */
export class PlainService extends HttpStandIn {
	readonly executions: Execution[] = [];
	/** Requests that arrived, also those that never ran. */
	receivedCount = 0;
	leaving = false;
	readonly #faults = new Map<string, ServiceFault[]>();

	/** Applies a fault to the next call of an operation; several apply to several calls in order. */
	injectFault(operation: string, fault: ServiceFault): void {
		this.#faults.set(operation, [
			...(this.#faults.get(operation) ?? []),
			fault,
		]);
	}

	/** Drops the faults that no call has met yet. */
	clearFaults(): void {
		this.#faults.clear();
	}

	/** Number of executions by idempotency key. */
	executionsByKey(): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const execution of this.executions) {
			counts[execution.key] = (counts[execution.key] ?? 0) + 1;
		}

		return counts;
	}

	/** Number of executions whose input has this value in `field`. */
	executionsWith(field: string, value: unknown): number {
		return this.executions.filter(
			({input}) =>
				typeof input === 'object' &&
				input !== null &&
				(input as Record<string, unknown>)[field] === value,
		).length;
	}

	protected override route(app: Polka): void {
		app
			.get('/healthz', (_request, response) => {
				sendJson(response, 200, {status: this.leaving ? 'leaving' : 'ready'});
			})
			.get('/executions', (_request, response) => {
				sendJson(response, 200, {executions: this.executionsByKey()});
			})
			.post(
				'/:operation',
				handle(async (request, response) => this.#call(request, response)),
			);
	}

	async #call(request: RoutedRequest, response: ServerResponse): Promise<void> {
		const operation = readParameter(request, 'operation');
		const input = await readJson(request);
		const key = String(request.headers['idempotency-key'] ?? '');
		this.receivedCount++;
		const fault = this.#faults.get(operation)?.shift();
		if (fault?.kind === 'hang') {
			return;
		}

		if (fault?.kind === 'fail') {
			sendJson(response, 500, {error: {message: 'injected failure'}});
			return;
		}

		if (fault?.kind === 'delay') {
			await new Promise((resolve) => {
				setTimeout(resolve, fault.delayMs);
			});
		}

		this.executions.push({operation, key, input, atMs: Date.now()});
		if (fault?.kind === 'lose-answer') {
			request.socket.resetAndDestroy();
			return;
		}

		if (fault?.kind === 'silent-after-execution') {
			return;
		}

		sendJson(response, 200, {
			operation,
			confirmation: `${operation}-${this.executions.length}`,
			input,
		});
	}
}
