import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {
	handleAsync,
	FakeHttpServer,
	readJson,
	readParameter,
	type RoutedRequest,
	sendJson,
} from './fake-http-server.ts';

/** A fault that applies to one call of an operation. */
export type ServiceFault =
	/** The operation runs after a delay. */
	| {kind: 'delay'; delayMs: number}
	/** The operation runs once the promise is fulfilled. */
	| {kind: 'hold'; until: Promise<void>}
	/** The operation does not run, and the connection stays open without a response. */
	| {kind: 'hang'}
	/** The operation runs, then the connection is reset without a response. */
	| {kind: 'lose-answer'}
	/** The operation runs, then the connection stays open without a response. */
	| {kind: 'silent-after-execution'}
	/** The operation does not run; the response has status 500. */
	| {kind: 'fail'};

/** One execution of an operation. */
export type Execution = {
	operation: string;
	key: string;
	input: unknown;
	atMs: number;
};

/**
 * Fake tool service without deduplication: each request that reaches an operation counts as an
 * execution of its `idempotency-key`.
 *
 * @example
 * ```ts
 * const desk = await new FakeService().start();
 * desk.injectFault('charge-fee', {kind: 'lose-answer'});
 * desk.countExecutionsByKey(); // {'p0-abc:r1': 1}
 * ```
 */
export class FakeService extends FakeHttpServer {
	readonly executions: Execution[] = [];
	/** Number of received requests, including those that were not executed. */
	receivedCount = 0;
	leaving = false;
	readonly #faults = new Map<string, ServiceFault[]>();

	/** Queues a fault for an operation; each call of the operation consumes one fault, in order. */
	injectFault(operation: string, fault: ServiceFault): void {
		this.#faults.set(operation, [
			...(this.#faults.get(operation) ?? []),
			fault,
		]);
	}

	/** Removes the queued faults. */
	clearFaults(): void {
		this.#faults.clear();
	}

	/** Returns the number of executions by idempotency key. */
	countExecutionsByKey(): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const execution of this.executions) {
			counts[execution.key] = (counts[execution.key] ?? 0) + 1;
		}

		return counts;
	}

	/** Returns the number of executions whose input has the given value in `field`. */
	countExecutionsWith(field: string, value: unknown): number {
		return this.executions.filter(
			({input}) =>
				typeof input === 'object' &&
				input !== null &&
				(input as Record<string, unknown>)[field] === value,
		).length;
	}

	protected override addRoutes(app: Polka): void {
		app
			.get('/healthz', (_request, response) => {
				sendJson(response, 200, {status: this.leaving ? 'leaving' : 'ready'});
			})
			.get('/executions', (_request, response) => {
				sendJson(response, 200, {executions: this.countExecutionsByKey()});
			})
			.post(
				'/:operation',
				handleAsync(async (request, response) => this.#call(request, response)),
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

		if (fault?.kind === 'hold') {
			await fault.until;
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
