import {messageOf} from '@marjoramcove/errors';
import type {UpstreamResource} from '@marjoramcove/configuration';
import type {UpstreamId} from '@marjoramcove/types';
import {createUpstreamConnector} from '@marjoramcove/upstream-http';
import {Agent} from 'undici';
import type {DaemonContext} from '../daemon-context.ts';
import type {CallRun} from './call-run.ts';
import {cancelStream, type AttemptEnd, runModelCall} from './run-model-call.ts';
import {runToolCall} from './run-tool-call.ts';

const connectTimeoutMs = 2000;

/**
 * Creates the connection pool for requests to upstreams.
 *
 * @param isSingleUse - whether each connection carries one request and is then closed.
 * @example
 * ```ts
 * const dispatcher = createUpstreamAgent({isSingleUse: true});
 * ```
 */
export const createUpstreamAgent = ({isSingleUse = false} = {}): Agent =>
	new Agent({
		pipelining: isSingleUse ? 0 : 1,
		connect: createUpstreamConnector({timeoutMs: connectTimeoutMs}),
	});

/** Client for the upstreams: their connection pools and the calls over them. */
export class UpstreamClient {
	readonly #context: DaemonContext;
	readonly #agents = new Map<UpstreamId, {address: string; agent: Agent}>();
	/**
	 * Carries the calls. Their answers do not say which call they belong to, so that a repeated answer on a kept
	 * connection would be taken for that of the next call. A kept connection that the upstream closes at the same
	 * moment would also make the outcome of a call unknown.
	 */
	readonly #singleUseAgent = createUpstreamAgent({isSingleUse: true});

	constructor(context: DaemonContext) {
		this.#context = context;
	}

	async stop(): Promise<void> {
		await Promise.all([
			this.#singleUseAgent.destroy(),
			...[...this.#agents.values()].map(async ({agent}) => agent.destroy()),
		]);
	}

	/** Sends an attempt to its upstream, once. */
	async call(run: CallRun, upstream: UpstreamResource): Promise<AttemptEnd> {
		const {address} = upstream.spec;
		const dispatcher = this.#singleUseAgent;
		if (upstream.spec.type === 'service') {
			return runToolCall({
				dispatcher,
				address,
				run,
				answerSizeBytes: this.#context.settings.limits.answerSizeBytes,
			});
		}

		const timer = setTimeout(
			() => {
				run.abortController.abort();
			},
			Math.max(1, run.deadlineMs - performance.now()),
		);
		try {
			return await runModelCall({
				context: this.#context,
				dispatcher,
				address,
				run,
			});
		} finally {
			clearTimeout(timer);
			if (run.abortController.signal.aborted) {
				void this.#cancelStream(run, upstream);
			}
		}
	}

	/** Connection pool for all requests to an upstream but calls; replaced when its address changes. */
	agentOf({name, spec}: UpstreamResource): Agent {
		let entry = this.#agents.get(name);
		if (entry?.address !== spec.address) {
			void entry?.agent.close();
			entry = {
				address: spec.address,
				agent: createUpstreamAgent(),
			};
			this.#agents.set(name, entry);
		}

		return entry.agent;
	}

	async #cancelStream(run: CallRun, upstream: UpstreamResource): Promise<void> {
		try {
			await cancelStream({
				dispatcher: this.agentOf(upstream),
				address: upstream.spec.address,
				run,
			});
		} catch (error) {
			this.#context.logger.debug({
				event: 'stream-not-cancelled',
				upstream: upstream.name,
				error: messageOf(error),
			});
		}
	}
}
