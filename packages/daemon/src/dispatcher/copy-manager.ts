import {messageOf, reasonOf} from '@marjoramcove/errors';
import type {UpstreamResource} from '@marjoramcove/configuration';
import type {UpstreamId} from '@marjoramcove/types';
import * as z from 'zod';
import {programIdSchema} from '../call-contracts.ts';
import type {DaemonContext} from '../daemon-context.ts';
import type {GroupClientService} from '../services/group-client-service.ts';
import type {PeersService} from '../services/peers-service.ts';
import type {UpstreamsService} from '../services/upstreams-service.ts';
import type {CallRun} from './call-run.ts';
import {ExportedCopies} from './exported-copies.ts';
import {findEndedPrograms} from './memory-reconciler.ts';
import type {UpstreamClient} from './upstream-client.ts';

const exportSchema = z.object({
	programId: programIdSchema,
	upstreamId: z.string().transform((value) => value as UpstreamId),
});

/** Exports, restores and drops the copies of engine memory that this dispatcher keeps. */
export class CopyManager {
	readonly #context: DaemonContext;
	readonly #client: UpstreamClient;
	readonly #copies: ExportedCopies;

	constructor(context: DaemonContext, client: UpstreamClient) {
		this.#context = context;
		this.#client = client;
		const gauge = context.metrics.gauge(
			'marjoramcove_exported_cache_tokens',
			'Tokens of exported engine memory that this daemon keeps.',
		);
		gauge.set(0);
		this.#copies = new ExportedCopies(
			context.settings.limits.exportedCacheTokens,
			(tokens) => {
				gauge.set(tokens);
			},
		);
	}

	/** Registers the handlers for requests of program owners. */
	serve(peers: PeersService, upstreams: UpstreamsService): void {
		peers.handle(
			'dispatch.exportMemory',
			exportSchema,
			async ({programId, upstreamId}) => {
				const upstream = upstreams.lookUp(upstreamId);
				const exported =
					upstream !== undefined &&
					this.#context.phase === 'ready' &&
					(await this.#copies.export(
						this.#createConnection(upstream),
						programId,
					));
				return {exported};
			},
		);
		peers.handle(
			'dispatch.dropCopy',
			z.object({programId: programIdSchema}),
			async ({programId}) => {
				this.#copies.drop(programId);
				return {dropped: true};
			},
		);
	}

	/** Imports an exported prefix into its engine; after a failure the engine recomputes it. */
	async restore({grant}: CallRun, upstream: UpstreamResource): Promise<void> {
		if (grant.kind !== 'model') {
			return;
		}

		try {
			await this.#copies.restore(
				this.#createConnection(upstream),
				grant.programId,
			);
		} catch (error) {
			this.#context.retries.increment({
				step: 'import',
				reason: reasonOf(error),
			});
			this.#context.logger.info({
				event: 'import-failed',
				programId: grant.programId,
				upstream: upstream.name,
				error: messageOf(error),
			});
		}
	}

	/** Drops copies of ended programs whose release was lost or arrived before the copy was made. */
	async reconcile(groups: GroupClientService): Promise<void> {
		const {shardCount} = this.#context.settings.cluster;
		try {
			const endedIds = await findEndedPrograms(
				this.#copies.programIds,
				groups,
				shardCount,
			);
			for (const programId of endedIds) {
				this.#copies.drop(programId);
			}
		} catch (error) {
			this.#context.retries.increment({
				step: 'reconcile-copies',
				reason: reasonOf(error),
			});
		}
	}

	#createConnection(upstream: UpstreamResource) {
		return {upstream, dispatcher: this.#client.agentOf(upstream)};
	}
}
