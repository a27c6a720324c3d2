/** A log line: its parsed fields and its original text. */
export type LogLine = {fields: Record<string, string>; text: string};

/** Log lines that explain a request, and a summary of its outcome. */
export type RequestExplanation = {
	requestId: string;
	/** Lines of the request, and of its daemon and program around that time, sorted by time. */
	lines: LogLine[];
	/** One sentence that states the outcome and its cause. */
	sentence: string;
};

/** Lines of the daemon and the program from this long before a request are included as context. */
const CONTEXT_WINDOW_MS = 3000;

/** Events that change the state of a daemon or its connections to others. */
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

/** Meanings of the reasons of finished requests by prefix; the first match applies. */
const REASON_MEANINGS: ReadonlyArray<
	readonly [prefix: string, meaning: string]
> = [
	['served', 'a server answered it'],
	['caller-left', 'its caller closed the connection before the answer'],
	['configuration-unknown', 'the entry daemon had no configuration yet'],
	[
		'configuration-lease-expired',
		'the entry daemon had no recent confirmation of its configuration',
	],
	[
		'configuration-not-confirmed',
		'the entry daemon could not tell whether its key was valid',
	],
	['key-missing', 'it had no key'],
	['key-unknown', 'the configuration in force did not hold its key'],
	['route-unknown', 'no route of the configuration in force matched it'],
	['budget-spent', 'the budget of its program did not cover another turn'],
	['turn-unknown', 'the turn that it continues is unknown'],
	['turn-already-settled', 'a turn with its id had already ended'],
	['turn-', 'the shard of its program could not be reached in time'],
	['no-server', 'no server of the service accepted new requests'],
	['server-status-', 'every server that was tried refused it'],
	['server-timeout', 'the server did not answer in time'],
	['timeout', 'the server did not answer in time'],
	['server-', 'the connection to its server failed'],
	['stream-', 'the stream from its server was interrupted'],
	['draining', 'its entry daemon was about to stop'],
	['body-', 'its body could not be read completely'],
	['head-too-large', 'its headers were too large'],
];

const FIELD_PATTERN = /([\w.]+)=(?:"((?:[^"\\]|\\.)*)"|(\S*))/gu;

/**
 * Parses a log line of key=value pairs.
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

const describeOutcome = ({fields}: LogLine): string => {
	const {status, reason = '', daemon, server, durationMs, attempts} = fields;
	const [, meaning] =
		REASON_MEANINGS.find(([prefix]) => reason.startsWith(prefix)) ?? [];
	const parts = [
		`Daemon ${daemon} responded with ${status} after ${durationMs} ms (${reason})`,
		meaning,
		server === undefined || server === '' ? undefined : `server ${server}`,
		attempts === undefined ? undefined : `${attempts} attempts`,
	].filter((part) => part !== undefined);
	return `${parts.join('; ')}.`;
};

const parseTimeMs = ({fields}: LogLine): number =>
	Date.parse(fields.time ?? '');

/**
 * Finds the lines that explain a request in the logs of several daemons.
 *
 * @returns `undefined` when no line names the request.
 * @example
 * ```ts
 * const explanation = explainRequest(text.split('\n'), '9c41d07be2a35f68');
 * ```
 */
export const explainRequest = (
	lineTexts: readonly string[],
	requestId: string,
): RequestExplanation | undefined => {
	const logLines = lineTexts
		.filter((text) => text.includes('event='))
		.map((text) => parseLogLine(text));
	const requestLines = logLines.filter(
		({fields}) => fields.request === requestId,
	);
	const end = requestLines.findLast(
		({fields}) => fields.event === 'request-finished',
	);
	const last = end ?? requestLines.at(-1);
	if (!last) {
		return undefined;
	}

	const {daemon, program, durationMs = '0'} = last.fields;
	const endMs = parseTimeMs(last);
	const fromMs = endMs - Number(durationMs) - CONTEXT_WINDOW_MS;
	const isContext = (line: LogLine) => {
		const {fields} = line;
		const atMs = parseTimeMs(line);
		const isNear = atMs >= fromMs && atMs <= endMs;
		const isRelated =
			fields.daemon === daemon || fields.event === 'leadership-changed';
		return (
			isNear &&
			((isRelated && CONTEXT_EVENTS.has(fields.event ?? '')) ||
				(program !== undefined && fields.program === program))
		);
	};

	const lines = logLines
		.filter((line) => line.fields.request === requestId || isContext(line))
		.toSorted((a, b) => parseTimeMs(a) - parseTimeMs(b));
	const sentence = end
		? describeOutcome(end)
		: `Daemon ${daemon} has not finished the request, or its last log line is missing.`;
	return {requestId, lines, sentence};
};
