import {setImmediate} from 'node:timers/promises';
import {toErrorBody, ValidationError} from '@marjoramcove/errors';
import {type AnyProcedure, type AnyRouter, initTRPC} from '@trpc/server';
import {z, type ZodType} from 'zod';

const itemsBetweenPauses = 64;

/** What a handler knows of the connection that carries a call. */
export type PeerContext = {
	/** Resolves when the peer reads fast enough for more data. */
	writable: () => Promise<void>;
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

/** A message without an answer; an error is counted by the server and not reported to the sender. */
export type PostProcedure = {
	input: ZodType;
	run: (input: never) => void;
};

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
	const t = initTRPC.context<PeerContext>().create({
		errorFormatter: ({shape, error}) => ({
			message: error.message,
			code: shape.code,
			data: {
				code: shape.data.code,
				// Without a handler (another version) the call cannot have run.
				body: toErrorBody(
					error.cause ?? error,
					error.code === 'NOT_FOUND' ? 'not-run' : 'may-have-run',
				),
			},
		}),
	});
	const record = Object.fromEntries(
		Object.entries(procedures).map(
			([path, procedure]): [string, AnyProcedure] => {
				const {input: schema} = procedure;
				if (procedure.kind === 'stream') {
					return [
						path,
						t.procedure
							.input((raw) => parseInput(path, schema, raw))
							.subscription(({input, ctx, signal}) =>
								pace(procedure.run(input, ctx, signal!), ctx),
							),
					];
				}

				return [
					path,
					t.procedure
						.input((raw) => parseInput(path, schema, raw))
						.mutation(async ({input, ctx}) => procedure.run(input, ctx)),
				];
			},
		),
	);
	return t.router(record);
};

/** Follows the speed of the peer; the pauses keep an endless source from blocking the event loop. */
async function* pace(source: AsyncIterable<unknown>, context: PeerContext) {
	let sincePause = 0;
	for await (const value of source) {
		yield value;
		await context.writable();
		if (++sincePause >= itemsBetweenPauses) {
			sincePause = 0;
			await setImmediate();
		}
	}
}
