/** One log line: its fields, and the text as it was written. */
export type LogLine = {fields: Record<string, string>; text: string};

/** What the logs say of one request. */
export type RequestExplanation = {
	requestId: string;
	/** Lines of the request, and of its daemon and program around that time, in their order. */
	lines: LogLine[];
	/** One sentence on what decided its fate. */
	sentence: string;
};

/** Time around a request in which lines of its daemon and its program may have caused its fate. */
const CONTEXT_MS = 3000;

/** Events that change what a daemon believes or can reach. */
const CONTEXT_EVENTS = new Set([
	'document-applied',
	'drain-started',
	'inventory-lost',
	'leadership-changed',
	'link-closed',
	'member-lost',
	'parent-lost',
	'parent-stale',
	'servers-changed',
	'turn-not-settled',
]);

/** What the reasons of finished requests mean; a key ends a longer reason's beginning. */
const REASONS: ReadonlyArray<readonly [prefix: string, meaning: string]> = [
	['served', 'a server answered it'],
	['caller-left', 'its caller closed the connection before the answer'],
	['configuration-unknown', 'the entry daemon had no configuration yet'],
	[
		'configuration-lease-expired',
		'the entry daemon had no recent confirmation of its configuration',
	],
	['route-unknown', 'no route of the configuration in force matched it'],
	['budget-spent', 'the budget of its program did not hold another turn'],
	['turn-unknown', 'the turn that it continues is not known'],
	['turn-already-settled', 'a turn with its id had ended before'],
	['turn-', 'the shard of its program could not be reached in time'],
	['no-server', 'no server of the service took new requests'],
	['server-status-', 'every server that it was offered to refused it'],
	['server-timeout', 'the server did not answer in time'],
	['timeout', 'the server did not answer in time'],
	['server-', 'the connection to its server failed'],
	['stream-', 'the stream of its server broke off'],
	['body-', 'its body could not be read whole'],
	['head-too-large', 'its headers were too large'],
];

const FIELD_PATTERN = /([\w.]+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))/gu;

/**
 * Reads a line of key=value pairs.
 *
 * @example
 * ```ts
 * parseLogLine('event=request-finished status=503').fields.status; // '503'
 * ```
 */
export const parseLogLine = (text: string): LogLine => {
	const fields: Record<string, string> = {};
	for (const [, key, quoted, plain] of text.matchAll(FIELD_PATTERN)) {
		fields[key!] = quoted ?? plain ?? '';
	}

	return {fields, text};
};

const describeFate = ({fields}: LogLine): string => {
	const {status, reason = '', daemon, server, durationMs, attempts} = fields;
	const [, meaning] =
		REASONS.find(([prefix]) => reason.startsWith(prefix)) ?? [];
	const parts = [
		`Daemon ${daemon} answered ${status} after ${durationMs} ms (${reason})`,
		meaning,
		server === undefined || server === '' ? undefined : `server ${server}`,
		attempts === undefined ? undefined : `${attempts} offers`,
	].filter((part) => part !== undefined);
	return `${parts.join('; ')}.`;
};

const timeOf = ({fields}: LogLine): number => Date.parse(fields.time ?? '');

/**
 * Collects the lines that explain a request from the logs of several daemons.
 *
 * @returns `undefined` when no line names the request.
 * @example
 * ```ts
 * const explanation = explainRequest(text.split('\n'), '9c41d07be2a35f68');
 * ```
 */
export const explainRequest = (
	texts: readonly string[],
	requestId: string,
): RequestExplanation | undefined => {
	const all = texts
		.filter((text) => text.includes('event='))
		.map((text) => parseLogLine(text));
	const own = all.filter(({fields}) => fields.request === requestId);
	const end = own.findLast(({fields}) => fields.event === 'request-finished');
	const last = end ?? own.at(-1);
	if (!last) {
		return undefined;
	}

	const {daemon, program, durationMs = '0'} = last.fields;
	const endMs = timeOf(last);
	const fromMs = endMs - Number(durationMs) - CONTEXT_MS;
	const isContext = (line: LogLine) => {
		const {fields} = line;
		const atMs = timeOf(line);
		const isNear = atMs >= fromMs && atMs <= endMs;
		const isRelated =
			fields.daemon === daemon || fields.event === 'leadership-changed';
		return (
			isNear &&
			((isRelated && CONTEXT_EVENTS.has(fields.event ?? '')) ||
				(program !== undefined && fields.program === program))
		);
	};

	const lines = all
		.filter((line) => line.fields.request === requestId || isContext(line))
		.toSorted((a, b) => timeOf(a) - timeOf(b));
	const sentence = end
		? describeFate(end)
		: `Daemon ${daemon} has not finished it, or its last line is missing.`;
	return {requestId, lines, sentence};
};
