import {setImmediate} from 'node:timers/promises';
import {toErrorBody, ValidationError} from '@marjoramcove/errors';
import {type AnyProcedure, type AnyRouter, initTRPC} from '@trpc/server';
import {z, type ZodType} from 'zod';

/** Number of items of a stream after which other work of the event loop gets a turn. */
const ITEMS_BETWEEN_PAUSES = 64;

/** Access of a procedure to the connection that carries its call. */
export type PeerContext = {
	/** Resolves when the unsent bytes no longer exceed the high-water mark of the connection. */
	waitUntilWritable: () => Promise<void>;
};

/** A call with one answer. */
export type CallProcedure = {
	kind: 'call';
	input: ZodType;
	run: (input: never, context: PeerContext) => Promise<unknown>;
};

/** A call with a stream of answers; the signal aborts when the peer stops or the link is lost. */
export type StreamProcedure = {
	kind: 'stream';
	input: ZodType;
	run: (
		input: never,
		context: PeerContext,
		signal: AbortSignal,
	) => AsyncGenerator;
};

/** Handler of a one-way message (post); the server reports its errors as events and not to the sender. */
export type PostProcedure = {
	input: ZodType;
	run: (input: never) => void;
};

/** Procedures by path. */
export type Procedures = Record<string, CallProcedure | StreamProcedure>;

/**
 * Checks the input of a procedure.
 *
 * @throws ValidationError when the input does not match.
 */
export const parseInput = (
	path: string,
	schema: ZodType,
	raw: unknown,
): never => {
	const parsed = schema.safeParse(raw);
	if (!parsed.success) {
		const found = z.prettifyError(parsed.error).replaceAll('\n', ' ');
		throw new ValidationError(
			`The input of ${path} is invalid: ${found}`,
			'Run the same version on all daemons.',
		);
	}

	return parsed.data as never;
};

/**
 * Builds the tRPC router of a daemon from plain procedures.
 *
 * @example
 * ```ts
 * const router = createPeerRouter({
 * 	'echo.text': {kind: 'call', input: z.string(), run: async (text: string) => text},
 * });
 * ```
 */
export const createPeerRouter = (procedures: Procedures): AnyRouter => {
	const trpc = initTRPC.context<PeerContext>().create({
		errorFormatter: ({shape, error}) => ({
			message: error.message,
			code: shape.code,
			data: {
				code: shape.data.code,
				// A call to a procedure that this version does not have cannot have run.
				body: toErrorBody(
					error.cause ?? error,
					error.code === 'NOT_FOUND' ? 'not-run' : 'may-have-run',
				),
			},
		}),
	});
	const trpcProcedures = Object.fromEntries(
		Object.entries(procedures).map(
			([path, procedure]): [string, AnyProcedure] => {
				const {input: schema} = procedure;
				if (procedure.kind === 'stream') {
					return [
						path,
						trpc.procedure
							.input((raw) => parseInput(path, schema, raw))
							.subscription(({input, ctx, signal}) =>
								applyBackpressure(procedure.run(input, ctx, signal!), ctx),
							),
					];
				}

				return [
					path,
					trpc.procedure
						.input((raw) => parseInput(path, schema, raw))
						.mutation(async ({input, ctx}) => procedure.run(input, ctx)),
				];
			},
		),
	);
	return trpc.router(trpcProcedures);
};

/** Waits while the peer is slow; the pauses prevent an endless source from blocking the event loop. */
async function* applyBackpressure(
	source: AsyncIterable<unknown>,
	context: PeerContext,
) {
	let itemsSincePause = 0;
	for await (const value of source) {
		yield value;
		await context.waitUntilWritable();
		if (++itemsSincePause >= ITEMS_BETWEEN_PAUSES) {
			itemsSincePause = 0;
			await setImmediate();
		}
	}
}
