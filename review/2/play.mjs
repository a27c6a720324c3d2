// An entry gets SIGTERM; clients that still hold its address send requests until their answer from the
// directory has run out. Servers answer within the deadline and the route's timeout.
import {
	call,
	createDocument,
	createId,
	Deployment,
	hasTrouble,
	runCase,
	signatureOf,
	sleep,
	StandInServer,
	turnHeaders,
	waitUntil,
} from '../lib/harness.mjs';

const GRACE_S = 8;

/** Events of a stream, and the pause between them, which is within the route's `targetGapMs`. */
const EVENTS = 12;
const EVENT_PAUSE_MS = 290;

/** Work of a plain request. */
const ORDER_WORK_MS = 2800;

/** Times after SIGTERM at which clients send a request each; some keep an address for three times `ttlS`. */
const SEND_AT_MS = [500, 1500, 2500, 3500, 3900, 4300];

const deployment = new Deployment({graceS: GRACE_S});
const {hostname} = deployment;

await runCase(import.meta.dirname, deployment, async (recorder) => {
	const workEnds = new Map();
	const desk = new StandInServer({
		id: 'i-desk',
		service: 'desk',
		async onRun({run: {requestId}, response}) {
			recorder.write(`server i-desk runs ${requestId}`);
			response.setHeader('Response-Signature', signatureOf(requestId));
			await sleep(ORDER_WORK_MS);
			workEnds.set(requestId, response.destroyed ? 'cut' : 'done');
			response.end(`confirmed ${requestId}`);
		},
	});
	const model = new StandInServer({
		id: 'i-model',
		service: 'models',
		async onRun({run: {requestId}, response}) {
			recorder.write(`server i-model runs ${requestId}`);
			response.writeHead(200, {
				'Response-Signature': signatureOf(requestId),
				'Content-Type': 'text/event-stream',
			});
			for (let event = 1; event <= EVENTS; event++) {
				response.write(`id: ${event}\ndata: ${requestId}-${event}\n\n`);
				await sleep(EVENT_PAUSE_MS);
				if (response.destroyed) {
					workEnds.set(requestId, `cut after event ${event}`);
					return;
				}
			}

			workEnds.set(requestId, 'done');
			response.end();
		},
	});
	await deployment.start({
		servers: [desk, model],
		document: createDocument(7, hostname),
	});
	const [name] = deployment.namesOf('entry');
	const entry = deployment.addressOf(name, 'front');
	await waitUntil('the directory names the entry', async () => {
		const found = await deployment.resolve('zone-a');
		return found.addresses.includes(entry);
	});
	const {addresses, ttlS} = await deployment.resolve('zone-a');
	recorder.write(
		`directory: ${addresses.join(', ')}, ttlS ${ttlS}; some clients keep it for ${3 * ttlS} s`,
	);
	const stopAtMs = performance.now();
	if (hasTrouble) {
		deployment.signal(name, 'SIGTERM');
		recorder.write(`platform sends SIGTERM to ${name}`);
	}

	const send = async (sendAtMs, isTurn) => {
		await sleep(Math.max(0, stopAtMs + sendAtMs - performance.now()));
		const requestId = createId();
		const sentAtMs = performance.now() - stopAtMs;
		recorder.write(
			`client sends ${requestId} (${isTurn ? 'turn' : 'order'}) ${Math.round(sentAtMs)} ms after SIGTERM`,
		);
		const result = await call(entry, isTurn ? '/turns/1' : '/orders/1', {
			method: 'POST',
			headers: isTurn
				? turnHeaders(hostname, requestId, `p${requestId}`)
				: {Host: hostname, 'Request-Id': requestId, 'Deadline-Ms': '3000'},
			body: 'input',
		});
		const endAtMs = performance.now() - stopAtMs;
		recorder.write(
			`client of ${requestId} got ${result.status ?? 'no status'}, ${result.isComplete ? 'complete' : `not complete (${result.error ?? 'the connection ended'})`}, ${result.durationMs} ms after it was sent, ${Math.round(endAtMs)} ms after SIGTERM`,
		);
		return {...result, requestId, isTurn, sentAtMs, endAtMs};
	};

	const results = await Promise.all(
		SEND_AT_MS.flatMap((sendAtMs) => [
			send(sendAtMs, true),
			send(sendAtMs, false),
		]),
	);
	await sleep(300);
	const runIds = new Set(
		[...desk.runs, ...model.runs].map(({requestId}) => requestId),
	);
	const breaches = [];
	for (const result of results) {
		const {requestId, isTurn, sentAtMs, endAtMs, durationMs} = result;
		const limitMs = isTurn ? 4000 : 3000;
		// Excused by the rule: the deadline or the route's timeout, and a request of the first three seconds
		// whose server was still at work in the last sixth of the grace.
		const isExcused =
			durationMs >= limitMs ||
			(sentAtMs <= 3000 && endAtMs >= (GRACE_S * 1000 * 5) / 6);
		if (runIds.has(requestId) && !result.isComplete && !isExcused) {
			breaches.push(
				`LOST: ${requestId} (${isTurn ? 'turn' : 'order'}), sent ${Math.round(sentAtMs)} ms after SIGTERM, was passed on and cut ${Math.round(durationMs)} ms after it was sent, before its deadline and its route's timeout of ${limitMs} ms (server: ${workEnds.get(requestId) ?? 'at work'})`,
			);
		}
	}

	return breaches;
});
