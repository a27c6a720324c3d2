import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {
	createSelectorResource,
	runCommand,
	TestBed,
	waitFor,
} from '@marjoramcove/test-support';
import {stringify} from 'yaml';
import {expectStep} from './demo-error.ts';
import {runProgram, type PrintLine} from './run-program.ts';

const runCliCommand = async (
	testBed: TestBed,
	arguments_: string[],
	printLine: PrintLine,
): Promise<string> => {
	printLine(`$ marjoramcove ${arguments_.join(' ')}`);
	const result = await runCommand(arguments_, {
		MARJORAMCOVE_ADDRESS: testBed.cluster.addresses.join(','),
	});
	expectStep(
		result.code === 0,
		`marjoramcove ${arguments_[0]}`,
		'exit code 0',
		result,
	);
	for (const line of result.out.trimEnd().split('\n')) {
		printLine(`  ${line}`);
	}

	return result.out;
};

const applyConfiguration = async (
	testBed: TestBed,
	printLine: PrintLine,
): Promise<void> => {
	const file = path.join(testBed.cluster.folder, 'demo.yaml');
	const resources = [
		createSelectorResource(
			'coaching',
			{agent: 'entry-coaching'},
			{tokens: 100_000, turns: 50, wallTimeMs: 600_000},
		),
		createSelectorResource('review', {agent: 'rules-review'}),
		{
			kind: 'ProgramLabelRule',
			name: 'halls',
			labels: {},
			spec: {match: {agent: 'entry-coaching'}, add: {tier: 'hall'}},
		},
	];
	writeFileSync(
		file,
		resources.map((resource) => stringify(resource)).join('---\n'),
	);
	await runCliCommand(testBed, ['apply', '-f', file], printLine);
};

const printAddresses = async (
	testBed: TestBed,
	printLine: PrintLine,
): Promise<void> => {
	const answer = await testBed
		.caller('d4')
		.send<{addresses: Array<{address: string; zone: string}>; ttlMs: number}>(
			'GET',
			'/v1/addresses',
		);
	expectStep(
		answer.status === 200 && answer.body.addresses.length > 0,
		'addresses',
		'at least one address',
		answer,
	);
	printLine(
		`addresses for ${answer.body.ttlMs} ms: ${answer.body.addresses.map(({address, zone}) => `${address} (${zone})`).join(', ')}`,
	);
};

const printHistoryFromOtherDaemon = async (
	testBed: TestBed,
	programId: string,
	printLine: PrintLine,
): Promise<void> => {
	const history = await waitFor('the history at d6', async () =>
		testBed.caller('d6').readHistory(programId),
	);
	expectStep(
		history.some(({content}) => content.includes('delta kite')) &&
			history.length >= 10,
		'history at d6',
		'all turns of the program',
		history,
	);
	printLine(`history read from d6: ${history.length} entries`);
	for (const {role, content} of history) {
		printLine(`  ${role}: ${content.slice(0, 80)}`);
	}
};

const drainDaemon = async (
	testBed: TestBed,
	printLine: PrintLine,
): Promise<void> => {
	await runCliCommand(testBed, ['drain', 'd5'], printLine);
	const exit = await testBed.cluster.daemon('d5').waitForExit();
	expectStep(exit.code === 0, 'drain of d5', 'exit code 0', exit);
	printLine('daemon d5 exited with code 0');
};

/**
 * Runs the example program against 8 daemon processes, 3 engines, an entry desk and an order desk.
 *
 * @throws DemoError when a step does not give the expected result.
 */
export const runDemo = async (printLine: PrintLine): Promise<void> => {
	printLine('starting 8 daemons, 3 engines, an entry desk and an order desk');
	const testBed = await TestBed.start({daemonCount: 8, engineCount: 3});
	try {
		await printAddresses(testBed, printLine);
		await applyConfiguration(testBed, printLine);
		const programId = await runProgram(testBed, printLine);
		await printHistoryFromOtherDaemon(testBed, programId, printLine);
		await drainDaemon(testBed, printLine);
	} catch (error) {
		printLine(testBed.cluster.describeLogs(5));
		throw error;
	} finally {
		await testBed.stop();
	}
};
