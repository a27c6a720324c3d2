import {setTimeout as sleep} from 'node:timers/promises';
import type {Answer, Caller, TestBed} from '@marjoramcove/test-support';
import {expectStep} from './demo-error.ts';

/** Prints one line of progress. */
export type PrintLine = (line: string) => void;

type Usage = {
	prompt_tokens?: number;
	completion_tokens?: number;
	prompt_tokens_details?: {cached_tokens?: number};
};

const PROGRAM_PAUSE_MS = 1000;

const runModelTurn = async (
	caller: Caller,
	programId: string,
	message: string,
	printLine: PrintLine,
): Promise<void> => {
	const startMs = performance.now();
	const call = caller.streamModel(programId, message);
	const result = await call.finished;
	expectStep(
		result.complete,
		'model call',
		'a complete streamed answer',
		result,
	);
	const usage = (result.usage ?? {}) as Usage;
	printLine(
		`model call: ${message} -> ${result.text.slice(0, 24)}... (${result.text.length} bytes, prompt ${usage.prompt_tokens} tokens of which ${usage.prompt_tokens_details?.cached_tokens ?? 0} cached, ${Math.round(performance.now() - startMs)} ms)`,
	);
};

const runToolTurn = async (
	caller: Caller,
	programId: string,
	[operation, input]: [operation: string, input: Record<string, unknown>],
	printLine: PrintLine,
): Promise<Answer> => {
	const requestId = `demo-${operation.split('/')[1]}`;
	const answer = await caller.callTool(programId, operation, input, {
		requestId,
	});
	expectStep(answer.status === 200, operation, 'status 200', answer);
	printLine(`tool call: ${operation} -> ${JSON.stringify(answer.body)}`);
	return answer;
};

const runSubAgent = async (
	caller: Caller,
	parent: string,
	printLine: PrintLine,
): Promise<void> => {
	const child = await caller.openProgram({
		labels: {agent: 'rules-review'},
		parent,
		budget: {tokens: 4000, turns: 3, wallTimeMs: 30_000},
	});
	printLine(
		`sub-agent ${child} opened with 4000 tokens of the budget of ${parent}`,
	);
	await runModelTurn(caller, child, 'Which rules apply?', printLine);
	await caller.endProgram(child);
	printLine(`sub-agent ${child} ended`);
};

/** Charges a fee and resends the same request, which must not charge the fee again. */
const chargeFeeAndResend = async (
	testBed: TestBed,
	programId: string,
	printLine: PrintLine,
): Promise<void> => {
	const caller = testBed.caller('d4');
	const charge = await runToolTurn(
		caller,
		programId,
		['entry-desk/charge-fee', {entry: 'demo', amountWon: 30_000}],
		printLine,
	);
	const repeated = await caller.callTool(
		programId,
		'entry-desk/charge-fee',
		{entry: 'demo', amountWon: 30_000},
		{requestId: 'demo-charge-fee'},
	);
	expectStep(
		JSON.stringify(repeated.body) === JSON.stringify(charge.body) &&
			testBed.entryDesk.countExecutionsWith('entry', 'demo') === 1,
		'resent charge-fee',
		'the first answer and one execution',
		{
			repeated,
			executions: testBed.entryDesk.countExecutionsWith('entry', 'demo'),
		},
	);
	printLine(
		'resent charge-fee: the recorded answer was returned and the fee was charged once',
	);
};

/** Runs the turns of the example program and returns its id. */
export const runProgram = async (
	testBed: TestBed,
	printLine: PrintLine,
): Promise<string> => {
	const caller = testBed.caller('d4');
	const programId = await caller.openProgram({
		labels: {agent: 'entry-coaching'},
		callerId: 'busan-hall',
		budget: {tokens: 50_000, turns: 20, wallTimeMs: 60_000},
	});
	printLine(`program ${programId} opened at d4`);
	await runModelTurn(
		caller,
		programId,
		'Which class fits a delta kite? [tokens=60]',
		printLine,
	);
	await runToolTurn(
		caller,
		programId,
		['entry-desk/list-slots', {}],
		printLine,
	);
	await chargeFeeAndResend(testBed, programId, printLine);
	await caller.pauseProgram(programId, PROGRAM_PAUSE_MS);
	printLine(`pause of ${PROGRAM_PAUSE_MS} ms`);
	await sleep(PROGRAM_PAUSE_MS);
	await runModelTurn(caller, programId, 'Book the next slot.', printLine);
	await runToolTurn(
		caller,
		programId,
		['entry-desk/book-slot', {slot: 7}],
		printLine,
	);
	await runSubAgent(caller, programId, printLine);
	await runToolTurn(
		caller,
		programId,
		['order-desk/confirm-order', {order: 'demo'}],
		printLine,
	);
	const ended = await caller.endProgram(programId);
	expectStep(ended.status < 300, 'end of the program', 'status 2xx', ended);
	printLine(`program ${programId} ended`);
	return programId;
};
