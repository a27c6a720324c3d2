// The server gives its event streams a Content-Length, as HTTP/1.1 allows; the client goes on from a turn
// as soon as it has its whole answer.
import {
	call,
	createDocument,
	createId,
	Deployment,
	hasTrouble,
	runCase,
	signatureOf,
	StandInServer,
	turnHeaders,
} from '../lib/harness.mjs';

const PROGRAMS = 60;
const TURNS = 3;
const EVENTS = 8;

const deployment = new Deployment();
const {hostname} = deployment;

const createStream = (requestId) =>
	Array.from(
		{length: EVENTS},
		(_, event) => `id: ${event + 1}\ndata: ${requestId}-${event + 1}\n\n`,
	).join('');

await runCase(import.meta.dirname, deployment, async (recorder) => {
	const model = new StandInServer({
		id: 'i-model',
		service: 'models',
		onRun({run: {requestId}, response}) {
			const stream = createStream(requestId);
			recorder.write(
				`server i-model runs ${requestId}, answers with ${hasTrouble ? 'a Content-Length' : 'chunks'}`,
			);
			response.writeHead(200, {
				'Response-Signature': signatureOf(requestId),
				'Content-Type': 'text/event-stream',
				...(hasTrouble && {'Content-Length': stream.length}),
			});
			response.end(stream);
		},
	});
	await deployment.start({
		servers: [model],
		document: createDocument(7, hostname),
	});
	const entries = deployment
		.namesOf('entry')
		.map((name) => deployment.addressOf(name, 'front'));
	const breaches = [];
	for (let program = 0; program < PROGRAMS; program++) {
		let previousId;
		let previousAtMs;
		for (let turn = 0; turn < TURNS; turn++) {
			const requestId = createId();
			const sentAtMs = performance.now();
			const {status, isComplete, body} = await call(
				entries[(program + turn) % entries.length],
				'/turns/1',
				{
					method: 'POST',
					headers: turnHeaders(hostname, requestId, `p${program}`, {
						...(previousId && {'Previous-Turn': previousId}),
					}),
					body: `input ${turn};`,
				},
			);
			const isWhole =
				status === 200 && isComplete && body === createStream(requestId);
			recorder.write(
				`client sent ${requestId} (program p${program}, previous ${previousId ?? 'none'}), got ${status}${isWhole ? ', whole' : ''}`,
			);
			if (previousId && (status === 404 || status === 410)) {
				breaches.push(
					`LOST: ${requestId} is answered ${status}, though its Previous-Turn ${previousId} was answered whole ${Math.round(sentAtMs - previousAtMs)} ms before it was sent`,
				);
			}

			if (!isWhole) {
				break;
			}

			previousId = requestId;
			previousAtMs = performance.now();
		}
	}

	return breaches;
});
