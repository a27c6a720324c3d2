import type {UpstreamResource} from '@marjoramcove/configuration';
import type {ProgramId, UpstreamId} from '@marjoramcove/types';
import {readJson} from '@marjoramcove/upstream-http';
import {type Dispatcher, request} from 'undici';

/** Limits how long a call waits for its import; recomputing a prefix takes seconds at most. */
const transferTimeoutMs = 4000;

/** Maximum size of an exported copy; the text of 300,000 tokens takes about 1.5 MB. */
const maxCopyBytes = 16 * 1024 * 1024;

type Copy = {upstreamId: UpstreamId; text: string; tokens: number};

type EngineConnection = {upstream: UpstreamResource; dispatcher: Dispatcher};

const postToEngine = async (
	{upstream, dispatcher}: EngineConnection,
	path: string,
	body?: unknown,
): Promise<unknown> => {
	const answer = await request(`${upstream.spec.address}/v1/kv/${path}`, {
		method: 'POST',
		dispatcher,
		headersTimeout: transferTimeoutMs,
		bodyTimeout: transferTimeoutMs,
		signal: AbortSignal.timeout(transferTimeoutMs),
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(body ?? {}),
	});
	if (answer.statusCode !== 200) {
		await answer.body.dump();
		throw new Error(
			`The engine answered POST /v1/kv/${path} with status ${answer.statusCode}.`,
		);
	}

	return readJson(answer.body, maxCopyBytes);
};

/**
 * Copies of engine memory that this dispatcher keeps during pauses of programs. They are lost when the
 * process ends; the owners of the programs record which process holds one.
 */
export class ExportedCopies {
	readonly #capacityTokens: number;
	readonly #onChange: (tokens: number) => void;
	readonly #copies = new Map<ProgramId, Copy>();
	#tokens = 0;

	/** @param onChange - called with the tokens of all copies after each change. */
	constructor(capacityTokens: number, onChange: (tokens: number) => void) {
		this.#capacityTokens = capacityTokens;
		this.#onChange = onChange;
	}

	get programIds(): ProgramId[] {
		return [...this.#copies.keys()];
	}

	/**
	 * Exports the memory of a program; returns false when it exceeds the remaining capacity.
	 *
	 * @throws Error when the engine does not answer with status 200.
	 */
	async export(
		engine: EngineConnection,
		programId: ProgramId,
	): Promise<boolean> {
		if (this.#tokens >= this.#capacityTokens) {
			return false;
		}

		const {text, tokens} = (await postToEngine(
			engine,
			`${encodeURIComponent(programId)}/export`,
		)) as {text: string; tokens: number};
		this.drop(programId);
		if (this.#tokens + tokens > this.#capacityTokens) {
			return false;
		}

		this.#copies.set(programId, {
			upstreamId: engine.upstream.name,
			text,
			tokens,
		});
		this.#addTokens(tokens);
		return true;
	}

	/**
	 * Imports the copy of a program into its engine before a call. The copy is removed in any case, because
	 * the call makes it outdated; without an import the engine recomputes the prefix.
	 *
	 * @throws Error when the import failed.
	 */
	async restore(engine: EngineConnection, programId: ProgramId): Promise<void> {
		const copy = this.#copies.get(programId);
		this.drop(programId);
		if (copy?.upstreamId === engine.upstream.name) {
			await postToEngine(engine, 'import', {programId, text: copy.text});
		}
	}

	drop(programId: ProgramId): void {
		const copy = this.#copies.get(programId);
		if (copy) {
			this.#copies.delete(programId);
			this.#addTokens(-copy.tokens);
		}
	}

	#addTokens(tokens: number): void {
		this.#tokens += tokens;
		this.#onChange(this.#tokens);
	}
}
