import {reasonOf} from '@marjoramcove/errors';
import {ReplicaHost} from '@marjoramcove/consensus';
import type {PeerNetwork} from '@marjoramcove/transport';
import type {DaemonId} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';

/** Memory limit for the logs of all groups of a daemon; evicted entries remain on disk. */
const LOG_MEMORY_BYTES = 8 * 1024 * 1024;

/**
 * Batching interval for proposals. Under load a shard receives a few proposals in this time, which then
 * share one round. The delay is small against a program step of some hundred milliseconds with two commits
 * per turn.
 */
const PROPOSAL_INTERVAL_MS = 10;

/** History segments are deleted as a whole, so smaller ones free their space sooner. */
const HISTORY_SEGMENT_BYTES = 8 * 1024 * 1024;

/**
 * Opens the disk of this daemon and connects its replicas to those of other daemons.
 *
 * @throws DataCorruptionError if the log is corrupt before its tail.
 * @example
 * ```ts
 * const host = await openReplicaHost(context, peers.network);
 * ```
 */
export const openReplicaHost = async (
	context: GatewayContext,
	network: PeerNetwork,
): Promise<ReplicaHost> => {
	const {settings, logger, metrics} = context;
	const {timing} = settings;
	const lost = metrics.counter(
		'marjoramcove_replication_batches_lost_total',
		'Batches of replicated logs that could not be sent, by reason.',
	);
	const deliver = async (to: DaemonId, batch: Uint8Array) => {
		try {
			await network.post(
				to,
				'replication.deliver',
				{from: settings.daemonId, batch},
				'control',
			);
		} catch (error) {
			// The protocol resends lost messages; the link itself logs that it is down.
			lost.increment({reason: reasonOf(error)});
		}
	};

	return ReplicaHost.open({
		daemonId: settings.daemonId,
		folder: settings.dataFolder!,
		send(to, batch) {
			void deliver(to, batch);
		},
		raft: {
			heartbeatMs: timing.raftHeartbeatMs,
			electionTimeoutMinMs: timing.electionTimeoutMinMs,
			electionTimeoutMaxMs: timing.electionTimeoutMaxMs,
		},
		logMemorySizeBytes: LOG_MEMORY_BYTES,
		proposalIntervalMs: PROPOSAL_INTERVAL_MS,
		historySegmentSizeBytes: HISTORY_SEGMENT_BYTES,
		onFatal(error) {
			context.fail(error);
		},
		onEvent(event, fields) {
			logger.info({event, ...fields});
		},
	});
};
