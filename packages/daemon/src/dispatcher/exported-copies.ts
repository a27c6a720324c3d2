import type {UpstreamResource} from '@marjoramcove/configuration';
import type {ProgramId, UpstreamId} from '@marjoramcove/types';
import {type Dispatcher, request} from 'undici';

/** Bounds the wait of a call for its import; computing a prefix again takes seconds at most. */
const transferTimeoutMs = 4000;

type Copy = {upstreamId: UpstreamId; text: string; tokens: number};

type Engine = {upstream: UpstreamResource; dispatcher: Dispatcher};

const send = async (
	{upstream, dispatcher}: Engine,
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
		throw new Error(`The engine answered ${answer.statusCode}.`);
	}

	return answer.body.json();
};

/**
 * Copies of engine memory that this dispatcher keeps over pauses of programs. They end with the
 * process; the owners of the programs record who holds one.
 */
export class ExportedCopies {
	readonly #capacityTokens: number;
	readonly #onChange: (tokens: number) => void;
	readonly #copies = new Map<ProgramId, Copy>();
	#tokens = 0;

	/** @param onChange - gets the tokens of all copies after each change. */
	constructor(capacityTokens: number, onChange: (tokens: number) => void) {
		this.#capacityTokens = capacityTokens;
		this.#onChange = onChange;
	}

	get programIds(): ProgramId[] {
		return [...this.#copies.keys()];
	}

	/**
	 * Copies the memory of a program; false when the engine holds none or there is no room.
	 *
	 * @throws Error when the engine does not answer.
	 */
	async export(engine: Engine, programId: ProgramId): Promise<boolean> {
		if (this.#tokens >= this.#capacityTokens) {
			return false;
		}

		const {text, tokens} = (await send(
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
		this.#count(tokens);
		return true;
	}

	/**
	 * Gives the copy of a program back to its engine before a call. The copy is used up, because the
	 * call makes it outdated; without an import the engine computes the prefix again.
	 *
	 * @throws Error when the import failed.
	 */
	async restore(engine: Engine, programId: ProgramId): Promise<void> {
		const copy = this.#copies.get(programId);
		this.drop(programId);
		if (copy?.upstreamId === engine.upstream.name) {
			await send(engine, 'import', {programId, text: copy.text});
		}
	}

	drop(programId: ProgramId): void {
		const copy = this.#copies.get(programId);
		if (copy) {
			this.#copies.delete(programId);
			this.#count(-copy.tokens);
		}
	}

	#count(tokens: number): void {
		this.#tokens += tokens;
		this.#onChange(this.#tokens);
	}
}
