import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {handle, readJson, readParameter, sendJson} from '../http-stand-in.ts';
import type {EngineMemory} from './engine-memory.ts';
import type {EngineOptions} from './engine-options.ts';
import {countTokens} from './generate-text.ts';

/** What the routes need of an engine; its memory is replaced at a restart. */
export type MemorySource = {
	memory: () => EngineMemory;
	options: EngineOptions;
	readLoad: () => Record<string, unknown>;
};

/** Adds the routes for load, cache events and held memory. */
export const routeMemory = (app: Polka, source: MemorySource): void => {
	app
		.get('/v1/load', (_request, response) => {
			sendJson(response, 200, source.readLoad());
		})
		.get('/v1/cache-events', (request, response) => {
			const events = source
				.memory()
				.eventsSince(Number(request.query.since ?? 0), {
					lagMs: source.options.cacheEventLagMs,
					dropEveryNth: source.options.dropEveryNthCacheEvent,
				});
			sendJson(response, 200, {events});
		})
		.get('/v1/kv', (_request, response) => {
			sendJson(response, 200, {programs: source.memory().held()});
		})
		.delete('/v1/kv/:id', (request, response) => {
			release(source, readParameter(request, 'id'), response);
		})
		.post('/v1/kv/:id/export', (request, response) => {
			exportMemory(source, readParameter(request, 'id'), response);
		})
		.post(
			'/v1/kv/import',
			handle(async (request, response) => {
				const body = await readJson<{programId: string; text: string}>(request);
				if (source.options.failImports > 0) {
					source.options.failImports--;
					sendJson(response, 503, {error: {message: 'The import failed.'}});
					return;
				}

				source.memory().store(body.programId, body.text, 'imported');
				sendJson(response, 200, {tokens: countTokens(body.text)});
			}),
		);
};

const release = (
	source: MemorySource,
	programId: string,
	response: ServerResponse,
): void => {
	if (source.options.loseReleases > 0) {
		source.options.loseReleases--;
		response.destroy();
		return;
	}

	sendJson(response, 200, {
		programId,
		released: source.memory().release(programId),
	});
};

const exportMemory = (
	source: MemorySource,
	programId: string,
	response: ServerResponse,
): void => {
	const text = source.memory().text(programId);
	if (text === undefined) {
		sendJson(response, 404, {
			error: {message: `Nothing is held for ${programId}.`},
		});
		return;
	}

	sendJson(response, 200, {programId, tokens: countTokens(text), text});
};
