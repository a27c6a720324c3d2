import {setTimeout as sleep} from 'node:timers/promises';
import type {Answer, Caller, TestBed} from '@marjoramcove/test-support';
import {expectStep} from './demo-error.ts';

export type Show = (line: string) => void;

type Usage = {
	prompt_tokens?: number;
	completion_tokens?: number;
	prompt_tokens_details?: {cached_tokens?: number};
};

const PAUSE_MS = 1000;

const showModelTurn = async (
	caller: Caller,
	programId: string,
	message: string,
	show: Show,
): Promise<void> => {
	const startMs = performance.now();
	const call = caller.streamModel(programId, message);
	const result = await call.finished;
	expectStep(result.complete, 'model call', 'a whole streamed answer', result);
	const usage = (result.usage ?? {}) as Usage;
	show(
		`model call: ${message} -> ${result.text.slice(0, 24)}... (${result.text.length} bytes, prompt ${usage.prompt_tokens} tokens of which ${usage.prompt_tokens_details?.cached_tokens ?? 0} cached, ${Math.round(performance.now() - startMs)} ms)`,
	);
};

const showToolTurn = async (
	caller: Caller,
	programId: string,
	[operation, input]: [operation: string, input: Record<string, unknown>],
	show: Show,
): Promise<Answer> => {
	const requestId = `demo-${operation.split('/')[1]}`;
	const answer = await caller.callTool(programId, operation, input, {
		requestId,
	});
	expectStep(answer.status === 200, operation, 'status 200', answer);
	show(`tool call: ${operation} -> ${JSON.stringify(answer.body)}`);
	return answer;
};

const runSubAgent = async (
	caller: Caller,
	parent: string,
	show: Show,
): Promise<void> => {
	const child = await caller.openProgram({
		labels: {agent: 'rules-review'},
		parent,
		budget: {tokens: 4000, turns: 3, wallTimeMs: 30_000},
	});
	show(`sub-agent ${child} opened with 4000 tokens of the budget of ${parent}`);
	await showModelTurn(caller, child, 'Which rules apply?', show);
	await caller.endProgram(child);
	show(`sub-agent ${child} ended`);
};

/** Charges a fee and sends the same request again, which must not charge it twice. */
const chargeOnce = async (
	bed: TestBed,
	programId: string,
	show: Show,
): Promise<void> => {
	const caller = bed.caller('d4');
	const charge = await showToolTurn(
		caller,
		programId,
		['entry-desk/charge-fee', {entry: 'demo', amountWon: 30_000}],
		show,
	);
	const repeated = await caller.callTool(
		programId,
		'entry-desk/charge-fee',
		{entry: 'demo', amountWon: 30_000},
		{requestId: 'demo-charge-fee'},
	);
	expectStep(
		JSON.stringify(repeated.body) === JSON.stringify(charge.body) &&
			bed.entryDesk.executionsWith('entry', 'demo') === 1,
		'resent charge-fee',
		'the first answer and one execution',
		{repeated, executions: bed.entryDesk.executionsWith('entry', 'demo')},
	);
	show(
		'resent charge-fee: the recorded answer came back, the fee is charged once',
	);
};

/** Runs the turns of the example program and returns its id. */
export const runProgram = async (bed: TestBed, show: Show): Promise<string> => {
	const caller = bed.caller('d4');
	const programId = await caller.openProgram({
		labels: {agent: 'entry-coaching'},
		callerId: 'busan-hall',
		budget: {tokens: 50_000, turns: 20, wallTimeMs: 60_000},
	});
	show(`program ${programId} opened at d4`);
	await showModelTurn(
		caller,
		programId,
		'Which class fits a delta kite? [tokens=60]',
		show,
	);
	await showToolTurn(caller, programId, ['entry-desk/list-slots', {}], show);
	await chargeOnce(bed, programId, show);
	await caller.pauseProgram(programId, PAUSE_MS);
	show(`pause of ${PAUSE_MS} ms`);
	await sleep(PAUSE_MS);
	await showModelTurn(caller, programId, 'Book the next slot.', show);
	await showToolTurn(
		caller,
		programId,
		['entry-desk/book-slot', {slot: 7}],
		show,
	);
	await runSubAgent(caller, programId, show);
	await showToolTurn(
		caller,
		programId,
		['order-desk/confirm-order', {order: 'demo'}],
		show,
	);
	const ended = await caller.endProgram(programId);
	expectStep(ended.status < 300, 'end of the program', 'status 2xx', ended);
	show(`program ${programId} ended`);
	return programId;
};
