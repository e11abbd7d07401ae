import java.util.Map;

/** Runs one case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
final class Cases {
    interface Case {
        boolean broken(Record record, boolean trouble) throws Exception;
    }

    private static final Map<String, Case> ALL = Map.of(
        "CutRefusals", CutRefusals::run,
        "LargeBodies", LargeBodies::run,
        "LeavingAnnounced", LeavingAnnounced::run,
        "PagedListing", PagedListing::run,
        "UnframedStreams", UnframedStreams::run
    );

    private Cases() {}

    public static void main(String[] arguments) {
        int status = 2;
        try {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Record record = new Record(java.nio.file.Path.of(arguments[1]));
            record.line("%s, %s the disruption", arguments[0], trouble ? "with" : "without");
            boolean broken = ALL.get(arguments[0]).broken(record, trouble);
            record.result(broken ? "the rule is broken" : "the rule holds");
            status = broken ? 1 : 0;
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }
}
