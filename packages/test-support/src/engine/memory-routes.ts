import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {
	handleAsync,
	readJson,
	readParameter,
	sendJson,
} from '../fake-http-server.ts';
import type {EngineMemory} from './engine-memory.ts';
import type {EngineOptions} from './engine-options.ts';
import {countTokens} from './generate-text.ts';

/** Engine state that the routes use; `memory` is a function because a restart replaces the memory. */
export type EngineAccess = {
	memory: () => EngineMemory;
	options: EngineOptions;
	readLoad: () => Record<string, unknown>;
};

/** Adds the routes for load, cache events and the memory of programs. */
export const addMemoryRoutes = (app: Polka, engine: EngineAccess): void => {
	app
		.get('/v1/load', (_request, response) => {
			sendJson(response, 200, engine.readLoad());
		})
		.get('/v1/cache-events', (request, response) => {
			const events = engine
				.memory()
				.eventsSince(Number(request.query.since ?? 0), {
					lagMs: engine.options.cacheEventLagMs,
					dropEveryNth: engine.options.dropEveryNthCacheEvent,
				});
			sendJson(response, 200, {events});
		})
		.get('/v1/kv', (_request, response) => {
			sendJson(response, 200, {programs: engine.memory().listEntries()});
		})
		.delete('/v1/kv/:id', (request, response) => {
			release(engine, readParameter(request, 'id'), response);
		})
		.post('/v1/kv/:id/export', (request, response) => {
			exportMemory(engine, readParameter(request, 'id'), response);
		})
		.post(
			'/v1/kv/import',
			handleAsync(async (request, response) => {
				const body = await readJson<{programId: string; text: string}>(request);
				if (engine.options.failImports > 0) {
					engine.options.failImports--;
					sendJson(response, 503, {error: {message: 'The import failed.'}});
					return;
				}

				engine.memory().store(body.programId, body.text, 'imported');
				sendJson(response, 200, {tokens: countTokens(body.text)});
			}),
		);
};

const release = (
	engine: EngineAccess,
	programId: string,
	response: ServerResponse,
): void => {
	if (engine.options.loseReleases > 0) {
		engine.options.loseReleases--;
		response.destroy();
		return;
	}

	sendJson(response, 200, {
		programId,
		released: engine.memory().release(programId),
	});
};

const exportMemory = (
	engine: EngineAccess,
	programId: string,
	response: ServerResponse,
): void => {
	const text = engine.memory().readText(programId);
	if (text === undefined) {
		sendJson(response, 404, {
			error: {message: `Nothing is held for ${programId}.`},
		});
		return;
	}

	sendJson(response, 200, {programId, tokens: countTokens(text), text});
};
