package clovermill.config.settings;

/** The part under {@code /log}: {@code format} is text or json, {@code level} the least that is written. */
public record LogSettings(String format, String level, String file) {

    /** Fills in what the file leaves out. */
    public LogSettings {
        format = format == null ? "text" : format;
        level = level == null ? "info" : level;
    }
}
