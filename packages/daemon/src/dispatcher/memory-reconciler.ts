import type {UpstreamResource} from '@marjoramcove/configuration';
import {planReleases} from '@marjoramcove/engine-control';
import {shardOfProgram} from '@marjoramcove/programs';
import type {ProgramId} from '@marjoramcove/types';
import {readJson} from '@marjoramcove/upstream-http';
import {type Dispatcher, request} from 'undici';
import type {GroupClientService} from '../services/group-client-service.ts';
import {shardGroup} from '../services/replication-service.ts';

const engineTimeoutMs = 2000;
const ownerTimeoutMs = 3000;

/** Maximum size of the list of programs that an engine keeps; a program takes about 60 bytes. */
const maxListBytes = 16 * 1024 * 1024;

/** Asks the owners of the shards which of the programs have ended or are unknown. */
export const findEndedPrograms = async (
	programIds: ProgramId[],
	groups: GroupClientService,
	shardCount: number,
): Promise<Set<ProgramId>> => {
	const endedIds = new Set<ProgramId>();
	for (let shard = 0; shard < shardCount; shard++) {
		const ids = programIds.filter((id) => shardOfProgram(id) === shard);
		if (ids.length === 0) {
			continue;
		}

		const found = await groups.call<ProgramId[]>(
			shardGroup(shard),
			'programs.findDead',
			{programIds: ids},
			{timeoutMs: ownerTimeoutMs},
		);
		for (const programId of found) {
			endedIds.add(programId);
		}
	}

	return endedIds;
};

/**
 * Compares the engine's own list of cached programs with the records of their owners, and releases the
 * memory of programs that have ended or are unknown. The engine's events are late and have gaps, so the
 * list is the only complete source.
 *
 * @throws Error when the engine or an owner does not answer; the next run tries again.
 */
export const reconcileEngineMemory = async ({
	engine,
	dispatcher,
	groups,
	shardCount,
}: {
	engine: UpstreamResource;
	dispatcher: Dispatcher;
	groups: GroupClientService;
	shardCount: number;
}): Promise<void> => {
	const {address} = engine.spec;
	const options = {
		dispatcher,
		headersTimeout: engineTimeoutMs,
		bodyTimeout: engineTimeoutMs,
	};
	const {body} = await request(`${address}/v1/kv`, options);
	const {programs} = (await readJson(body, maxListBytes)) as {
		programs: Array<{programId: ProgramId; tokens: number}>;
	};
	const endedIds = await findEndedPrograms(
		programs.map(({programId}) => programId),
		groups,
		shardCount,
	);
	for (const programId of planReleases(programs, (id) => !endedIds.has(id))) {
		const answer = await request(
			`${address}/v1/kv/${encodeURIComponent(programId)}`,
			{...options, method: 'DELETE'},
		);
		await answer.body.dump();
	}
};
