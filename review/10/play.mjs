import {setTimeout as sleep} from 'node:timers/promises';
import {createId, HOST, runCase, turnHeaders} from '../lib-2/case.mjs';

/** Size of the input of a turn; the configuration allows 4,194,304 bytes. */
const INPUT_BYTES = 4_000_000;
const CALM_INPUT_BYTES = 40_000;

/** Turns of the program; the last one continues a chain of more than 16 MiB. */
const TURNS = 6;

/** Tries of a turn without reaching a server after which the rule is broken, and pause between them. */
const MAX_TRIES = 5;
const PAUSE_MS = 300;

/** Share of the first turns of other programs that must reach a server meanwhile. */
const MIN_FIRST_TURN_SHARE = 0.9;

await runCase(
	import.meta.dirname,
	async ({deployment, servers, isTroubled, record}) => {
		const inputBytes = isTroubled ? INPUT_BYTES : CALM_INPUT_BYTES;
		const entries = deployment.namesOf('entry');
		const findRun = (requestId) =>
			servers
				.flatMap(({runs}) => runs)
				.find((run) => run.requestId === requestId);
		const sendTurn = async (entry, {programId, previousId, input}) => {
			const requestId = createId();
			const startedAtMs = performance.now();
			const {status, error, body} = await deployment.call(entry, 'front', {
				method: 'POST',
				target: '/turns/chat',
				hostname: HOST,
				headers: [
					['Request-Id', requestId],
					['Deadline-Ms', 3000],
					...turnHeaders(programId, previousId),
				],
				body: Buffer.from(input),
			});
			const ran = findRun(requestId);
			const reason =
				status === 200 || body === undefined ? '' : ` (${body.toString()})`;
			record(
				`${programId} at ${entry}: turn ${requestId} with an input of ${input.length} bytes, continuing ${previousId ?? 'nothing'}: ${error ?? status}${reason} after ${Math.round(performance.now() - startedAtMs)} ms, ${ran ? `a server ran ${ran.body.length} bytes` : 'it reached no server'}`,
			);
			return {requestId, isWhole: status === 200 && !error, ran};
		};

		const firstTurns = [];
		let previousId;
		let triesWithoutServer = 0;
		for (let turn = 0; turn < TURNS; turn++) {
			for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
				const entry = entries[attempt % entries.length];
				const {requestId, isWhole, ran} = await sendTurn(entry, {
					programId: '3fa81c',
					previousId,
					input: String(turn).repeat(inputBytes),
				});
				if (isWhole) {
					previousId = requestId;
					triesWithoutServer = 0;
					break;
				}

				triesWithoutServer += ran ? 0 : 1;
				firstTurns.push(
					await sendTurn(entry, {
						programId: `40c8f1-${turn}-${attempt}`,
						input: 'first input of another program',
					}),
				);
				await sleep(PAUSE_MS);
			}

			if (triesWithoutServer >= MAX_TRIES) {
				break;
			}
		}

		const reached = firstTurns.filter(({ran}) => ran).length;
		record(
			`the last turn failed to reach a server ${triesWithoutServer} times; ${reached} of ${firstTurns.length} first turns of other programs reached one meanwhile`,
		);
		return (
			triesWithoutServer >= MAX_TRIES &&
			reached >= firstTurns.length * MIN_FIRST_TURN_SHARE
		);
	},
);
