import {createId, HOST, runCase, turnHeaders} from '../lib-2/case.mjs';

const PROGRAMS = 10;

/** Number of short fields before those of the program; a head then has about 7,000 of the 16,384 bytes allowed. */
const FIELD_COUNT = 1100;
const CALM_FIELD_COUNT = 100;

/** Data of the events of a stream, each followed by a line feed. */
const readEvents = (body) =>
	[...body.toString('latin1').matchAll(/^data: (?<data>.*)$/gmu)]
		.map(({groups}) => `${groups.data}\n`)
		.join('');

await runCase(
	import.meta.dirname,
	async ({deployment, servers, isTroubled, record}) => {
		const fieldCount = isTroubled ? FIELD_COUNT : CALM_FIELD_COUNT;
		const fields = Array.from({length: fieldCount}, () => ['a', 'b']);
		const entries = deployment.namesOf('entry');
		const sendTurn = async (
			entry,
			{programId, previousId, input, extra = []},
		) => {
			const requestId = createId();
			const headers = [
				['Request-Id', requestId],
				['Deadline-Ms', 3000],
				...extra,
				...turnHeaders(programId, previousId),
			];
			const headBytes = headers.reduce(
				(sum, [name, value]) => sum + name.length + String(value).length + 4,
				0,
			);
			const {status, error, body} = await deployment.call(entry, 'front', {
				method: 'POST',
				target: '/turns/chat',
				hostname: HOST,
				headers,
				body: Buffer.from(input),
			});
			const ran = servers
				.flatMap(({runs}) => runs)
				.find((run) => run.requestId === requestId);
			record(
				`${programId} at ${entry}: turn ${requestId} with a head of ${headBytes} bytes, continuing ${previousId ?? 'nothing'}: ${error ?? status}, a server ran ${JSON.stringify(ran?.body)}`,
			);
			return {requestId, status, error, body, ran};
		};

		let wrongRuns = 0;
		for (let number = 0; number < PROGRAMS; number++) {
			const programId = `3fa81c${number}`;
			const entry = entries[number % entries.length];
			const firstInput = `first input of ${programId};`;
			const secondInput = `second input of ${programId};`;
			const first = await sendTurn(entry, {programId, input: firstInput});
			if (first.status !== 200 || first.error) {
				throw new Error(`The first turn of ${programId} failed.`);
			}

			const second = await sendTurn(entry, {
				programId,
				previousId: first.requestId,
				input: secondInput,
				extra: fields,
			});
			const expected = `${firstInput}${readEvents(first.body)}${secondInput}`;
			if (second.ran && second.ran.body !== expected) {
				wrongRuns++;
				record(
					`${programId}: the turn should have had ${JSON.stringify(expected)}`,
				);
			}
		}

		record(
			`servers ran ${wrongRuns} of ${PROGRAMS} turns without the earlier inputs and outputs of their chain`,
		);
		return wrongRuns > 0;
	},
);
